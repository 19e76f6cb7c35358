/**
 * Load pattern: during a burst of a few seconds, a queue demands several times the capacity of its
 * pool. Steps that can still meet their objective go before those that cannot; among the former,
 * the one with the earliest due time goes first, which completes the most steps in time when all
 * could be in time.
 */
import type { StepUrgency } from './BaobabwellPlacementObjective';

/**
 * Lateness up to which a step still counts as in time, in ms. Estimates are rough, and a step that
 * is wrongly classed as late goes behind all others and is then certain to be late.
 */
const LATE_TOLERANCE_MS = 150;

/** Returns the rank of the urgency class of a step; a lower rank goes first. */
function getRank({ isLongRunning, isBestEffort, laxityMs }: StepUrgency): number {
  if (isLongRunning) {
    return isBestEffort ? 3 : 0;
  }
  return laxityMs >= -LATE_TOLERANCE_MS ? 1 : 2;
}

/** Compares two steps; the step that is placed first sorts first. */
export function compareUrgency(left: StepUrgency, right: StepUrgency): number {
  return (
    getRank(left) - getRank(right) || left.priority - right.priority || left.dueMs - right.dueMs
  );
}

/** Returns the class of a step: steps of one class differ by due time only. */
export function getUrgencyClass(urgency: StepUrgency): string {
  return `${getRank(urgency)}.${urgency.priority}`;
}
