import type { TermContext } from './BaobabwellControllerContext';
import type { Job } from '@baobabwell/jobs';

import { JobState } from '@baobabwell/jobs';
import { ObjectiveResult } from '@baobabwell/metrics';
import { getObjectiveMs } from '@baobabwell/placement';

const SECOND_MS = 1_000;

/** Counts a job that completed or failed, against the objective of its queue. */
export function recordJobEnd(context: TermContext, { record, state }: Job): void {
  const { clock, metrics, getConfiguration } = context;
  const { spec, queue, acceptedAtMs } = record;
  const tookMs = clock.getWallTime() - acceptedAtMs;
  metrics.jobs.inc({ queue, event: state });
  const settings = getConfiguration()?.queues.find(({ name }) => name === queue);
  // A job with due times of its own has no duration that an objective could bound.
  if (settings === undefined || spec.repeat !== null) {
    return;
  }
  metrics.jobSeconds.observe({ queue }, tookMs / SECOND_MS);
  const isInTime = tookMs <= getObjectiveMs(spec, settings);
  const met = isInTime ? ObjectiveResult.Met : ObjectiveResult.Slow;
  const result = state === JobState.Completed ? met : ObjectiveResult.Failed;
  metrics.objectiveCalls.inc({ queue, result });
}
