import type { TermContext } from './BaobabwellControllerContext';
import type { Job, Run, Task } from '@baobabwell/jobs';
import type { LogFields } from '@baobabwell/logging';

import { findQueueOfJob } from '@baobabwell/fleet';
import { JobState } from '@baobabwell/jobs';
import { ObjectiveResult } from '@baobabwell/metrics';
import { getObjectiveMs } from '@baobabwell/placement';

const SECOND_MS = 1_000;

function formatNumbers(numbers: readonly number[]): string | null {
  return numbers.length === 0 ? null : numbers.join();
}

/** Returns the log fields with the runs that count against a task: failed ones, and crashes under them. */
function describeFailures({ failedRuns, crashes }: Task): LogFields {
  return {
    failedRuns: formatNumbers(failedRuns),
    crashedRuns: formatNumbers(crashes.runs),
    attributedRuns: formatNumbers(crashes.attributedRuns),
  };
}

/** Logs the failures that earlier owners stored with a job, which this owner did not observe. */
export function recordStoredFailures({ logger, term }: TermContext, job: Job): void {
  job
    .listSteps()
    .flatMap(({ tasks }) => tasks)
    .filter(({ failedRuns, crashes }) => failedRuns.length > 0 || crashes.runs.length > 0)
    .forEach((task) =>
      logger.recordInfo('failures-restored', {
        job: job.record.id,
        task: task.name,
        epoch: term.epoch,
        ...describeFailures(task),
      }),
    );
}

/** The run of a task at whose end its job ended. */
type LastRun = Pick<Run, 'task' | 'number'>;

/** Logs a job that completed or failed, and counts it against the objective of its queue. */
export function recordJobEnd(context: TermContext, { record, state }: Job, lastRun: LastRun): void {
  const { clock, logger, metrics, durations, getConfiguration } = context;
  const { id, spec, queue, acceptedAtMs } = record;
  const tookMs = Math.round(clock.getWallTime() - acceptedAtMs);
  const settings = findQueueOfJob(getConfiguration(), record);
  // A repeated job has its own due times, so no objective applies to its duration.
  const objectiveMs =
    settings === null || spec.repeat !== null
      ? null
      : Math.round(getObjectiveMs(spec, settings, durations));
  const hasCompleted = state === JobState.Completed;
  const fields = { job: id, queue, task: lastRun.task.name, run: lastRun.number };
  if (hasCompleted) {
    logger.recordInfo('job-completed', { ...fields, tookMs, objectiveMs });
  } else {
    logger.recordWarning('job-failed', {
      ...fields,
      tookMs,
      objectiveMs,
      maxAttempts: settings?.maxAttempts ?? null,
      ...describeFailures(lastRun.task),
    });
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
export function stopFailedJob(context: TermContext, lastRun: LastRun): void {
  const { job } = lastRun.task.step;
  recordJobEnd(context, job, lastRun);
  context.jobRegistry.listRuns(job).forEach((run) => context.stopRun(run, 'the job failed'));
}
