import type { TermContext } from './BaobabwellControllerContext';
import type { Host } from './BaobabwellControllerHost';
import type { Run, Step, Task } from '@baobabwell/jobs';

import { RunPhase } from '@baobabwell/jobs';

import { MAX_ANSWER_AGE_MS } from './BaobabwellControllerConstants';

const FULL_PERCENT = 100;

/** Returns true while the latest report of a host counts: the leases renewed with it have not expired. */
function hasRecentReport({ clock }: TermContext, host: Host | undefined): boolean {
  return (
    host?.isReachable === true && clock.getNow() - host.answeredHoldSentAtMs < MAX_ANSWER_AGE_MS
  );
}

/** Returns true while a task is available, by a recent report of its host. */
export function isAvailable(context: TermContext, { runs }: Task): boolean {
  return [...runs].some(
    ({ phase, progressPercent, hostId }) =>
      phase === RunPhase.Running &&
      progressPercent >= FULL_PERCENT &&
      hasRecentReport(context, context.hosts.get(hostId)),
  );
}

/** Counts the other tasks of a step that are not available. */
export function countOthersUnavailable(
  context: TermContext,
  { tasks }: Step,
  stopped: Task,
): number {
  return tasks.filter((task) => task !== stopped && !isAvailable(context, task)).length;
}

/** Returns the number of further tasks of a step that may be made unavailable. */
export function countMayMiss(context: TermContext, { tasks, spec }: Step): number {
  const unavailableCount = tasks.filter((task) => !isAvailable(context, task)).length;
  return Math.max(1, spec.maxAway) - unavailableCount;
}

/** Returns true when enough other tasks of a step stay available after one is stopped. */
function canStopLongRunning(context: TermContext, step: Step, stopped: Task): boolean {
  return countOthersUnavailable(context, step, stopped) < Math.max(1, step.spec.maxAway);
}

/** Lists the runs of long running tasks on a host. */
export function listLongRunning(host: Host): readonly Run[] {
  return [...host.runs.values()].filter(({ task }) => task.step.spec.isLasting);
}

/**
 * Stops long running tasks on a host so that they start elsewhere, at most as many at once as their
 * steps allow.
 *
 * @returns true when no such task is left on the host.
 */
export function stopLongRunning(context: TermContext, host: Host, reason: string): boolean {
  const longRunning = listLongRunning(host);
  longRunning
    .filter(({ phase }) => phase === RunPhase.Running)
    .forEach((run) => {
      if (canStopLongRunning(context, run.task.step, run.task)) {
        context.stopRun(run, reason);
      }
    });
  return longRunning.length === 0;
}
