/**
 * Logs the events of each call (accepted, waiting, dispatched, retried, ended) and counts them in
 * metrics.
 */
import type { CallRequest, CallResult } from '@baobabwell/calls';
import type { Logger } from '@baobabwell/logging';
import type { EntryMetrics } from '@baobabwell/metrics';
import type { Host } from '@baobabwell/model';
import type { SlotRequest } from '@baobabwell/scheduling';
import type { Objective } from '@baobabwell/settings';
import type { Task, TaskOutcome, WorkerEvent } from '@baobabwell/workers';

import { CallReason } from '@baobabwell/calls';
import { ObjectiveResult } from '@baobabwell/metrics';
import { Outcome } from '@baobabwell/model';

const MS_PER_SECOND = 1_000;
const UNKNOWN_QUEUE_LABEL = 'unknown';

/**
 * Reasons that do not count towards an objective, because the caller or an operator decided the
 * result.
 */
const EXCLUDED_REASONS: ReadonlySet<CallReason> = new Set([
  CallReason.UnknownQueue,
  CallReason.KeyMissing,
  CallReason.KeyRefused,
  CallReason.TeamNotAllowed,
  CallReason.TargetLeaving,
  CallReason.Cancelled,
]);

/** Dependencies of {@link CallRecorder}. */
export type CallRecorderDependencies = {
  readonly logger: Logger;
  readonly metrics: EntryMetrics;
  /** Returns the objective of a queue, or `null` when it has none. */
  readonly findObjective: (queue: string) => Objective | null;
};

function getObjectiveResult(
  { outcome }: CallResult,
  durationMs: number,
  { latency }: Objective,
): ObjectiveResult {
  if (outcome !== Outcome.Completed) {
    return ObjectiveResult.Failed;
  }
  return durationMs <= latency ? ObjectiveResult.Met : ObjectiveResult.Slow;
}

/** Records the events of calls. Each log line contains the id of its call. */
export class CallRecorder {
  readonly #dependencies: CallRecorderDependencies;

  constructor(dependencies: CallRecorderDependencies) {
    this.#dependencies = dependencies;
  }

  /** Records a change in this entry's assessment of a worker. */
  recordWorker(event: WorkerEvent, { id, pool }: Pick<Host, 'id' | 'pool'>): void {
    this.#dependencies.metrics.workerEvents.inc({ pool, event });
    this.#dependencies.logger.recordWarning(event, { host: id, pool });
  }

  /** Records that a call was accepted. */
  recordAccepted({ id, queue, priority, isRepeatable }: CallRequest): void {
    this.#dependencies.logger.recordDebug('call-accepted', {
      call: id,
      queue,
      priority,
      isRepeatable,
    });
  }

  /** Records that a call started to wait for a slot. */
  recordWaiting({ callId, pool, team, priority }: SlotRequest): void {
    this.#dependencies.logger.recordDebug('call-waiting', { call: callId, pool, team, priority });
  }

  /** Records that the wait of a call for a slot ended, with a grant or with a refusal. */
  recordWaitEnded({ callId, pool, priority }: SlotRequest, waitMs: number, refusal: string): void {
    this.#dependencies.metrics.slotWaitSeconds.observe({ pool, priority }, waitMs / MS_PER_SECOND);
    this.#dependencies.logger.recordDebug('call-turn', {
      call: callId,
      pool,
      waitMs: Math.round(waitMs),
      refusal,
    });
  }

  /** Records that an attempt was sent to a worker. */
  recordDispatched({ id, queue, team }: Task, worker: string): void {
    this.#dependencies.logger.recordDebug('call-dispatched', {
      ...this.#parseTask(id),
      queue,
      team,
      worker,
    });
  }

  /** Records the result of an attempt; an attempt without an answer may be retried. */
  recordAttempt({ id, queue }: Task, { kind }: TaskOutcome, worker: string): void {
    this.#dependencies.metrics.attempts.inc({ queue, result: kind });
    if (kind !== 'answered') {
      const fields = { ...this.#parseTask(id), queue, worker, result: kind };
      this.#dependencies.logger.recordInfo('call-attempt-failed', fields);
    }
  }

  /** Records the result of a call. */
  recordEnded({ id, queue }: CallRequest, result: CallResult, durationMs: number): void {
    const { metrics, logger, findObjective } = this.#dependencies;
    const { outcome, reason } = result;
    // Callers choose the queue name, so only names of the view become labels: others would let
    // callers create time series without limit.
    const label = reason === CallReason.UnknownQueue ? UNKNOWN_QUEUE_LABEL : queue;
    metrics.calls.inc({ queue: label, outcome, reason });
    metrics.callSeconds.observe({ queue: label }, durationMs / MS_PER_SECOND);
    const objective = findObjective(queue);
    if (objective !== null && !EXCLUDED_REASONS.has(reason)) {
      metrics.objectiveCalls.inc({
        queue,
        result: getObjectiveResult(result, durationMs, objective),
      });
    }
    const fields = { call: id, queue, outcome, reason, durationMs: Math.round(durationMs) };
    if (outcome === Outcome.Unknown) {
      logger.recordInfo('call-ended', fields);
    } else {
      logger.recordDebug('call-ended', fields);
    }
  }

  #parseTask(taskId: string): { readonly call: string; readonly attempt: number } {
    const separator = taskId.lastIndexOf('.');
    return { call: taskId.slice(0, separator), attempt: Number(taskId.slice(separator + 1)) };
  }
}
