/**
 * Load pattern: during a burst of a few seconds, a queue demands several times the capacity of its
 * pool. Steps that can still meet their objective go before those that cannot; among the former,
 * the one with the earliest due time goes first, which completes the most steps in time when all
 * could be in time. When they could not, that order alone would start each job at the last moment at
 * which it may be in time, and make all of them late by what estimates are off. A job that has not
 * started by then therefore waits behind those that still have time in hand.
 */
import type { StepUrgency } from './BaobabwellPlacementObjective';

/**
 * Lateness up to which a step still counts as in time, in ms. Estimates are rough, and a step that
 * is wrongly classed as late goes behind all others and is then certain to be late.
 */
const LATE_TOLERANCE_MS = 150;

/** Share of the time for which a job could wait below which it is at risk if it has not started. */
const RISK_SHARE = 0.25;

/** Classes of urgency, in the order in which their steps are placed. */
enum UrgencyClass {
  LongRunning = 0,
  InTime = 1,
  AtRisk = 2,
  Late = 3,
  BestEffort = 4,
}

function getRank(urgency: StepUrgency): UrgencyClass {
  const { isLongRunning, isBestEffort, hasStarted, maxWaitMs, laxityMs } = urgency;
  if (isLongRunning) {
    return isBestEffort ? UrgencyClass.BestEffort : UrgencyClass.LongRunning;
  }
  if (laxityMs < -LATE_TOLERANCE_MS) {
    return UrgencyClass.Late;
  }
  return !hasStarted && laxityMs < RISK_SHARE * maxWaitMs
    ? UrgencyClass.AtRisk
    : UrgencyClass.InTime;
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
