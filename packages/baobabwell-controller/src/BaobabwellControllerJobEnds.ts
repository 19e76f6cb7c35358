import type { TermContext } from './BaobabwellControllerContext';
import type { Job, Run } from '@baobabwell/jobs';

import { JobState } from '@baobabwell/jobs';
import { ObjectiveResult } from '@baobabwell/metrics';
import { getObjectiveMs } from '@baobabwell/placement';

const SECOND_MS = 1_000;

/** Logs a job that completed or failed, and counts it against the objective of its queue. */
export function recordJobEnd(context: TermContext, { record, state }: Job, lastRun: Run): void {
  const { clock, logger, metrics, durations, getConfiguration } = context;
  const { id, spec, queue, acceptedAtMs } = record;
  const tookMs = Math.round(clock.getWallTime() - acceptedAtMs);
  const settings = getConfiguration()?.queues.find(({ name }) => name === queue);
  // A repeated job has its own due times, so no objective applies to its duration.
  const objectiveMs =
    settings === undefined || spec.repeat !== null
      ? null
      : Math.round(getObjectiveMs(spec, settings, durations));
  const hasCompleted = state === JobState.Completed;
  const fields = { job: id, queue, task: lastRun.task.name, run: lastRun.number };
  if (hasCompleted) {
    logger.recordInfo('job-completed', { ...fields, tookMs, objectiveMs });
  } else {
    logger.recordWarning('job-failed', { ...fields, tookMs, objectiveMs });
  }
  metrics.jobs.inc({ queue, event: state });
  if (objectiveMs === null) {
    return;
  }
  metrics.jobSeconds.observe({ queue }, tookMs / SECOND_MS);
  const met = tookMs <= objectiveMs ? ObjectiveResult.Met : ObjectiveResult.Slow;
  metrics.objectiveCalls.inc({ queue, result: hasCompleted ? met : ObjectiveResult.Failed });
}

/** Records that a job failed and stops what is left of its runs. */
export function stopFailedJob(context: TermContext, lastRun: Run): void {
  const { job } = lastRun.task.step;
  recordJobEnd(context, job, lastRun);
  context.jobRegistry.listRuns(job).forEach((run) => context.stopRun(run, 'the job failed'));
}
