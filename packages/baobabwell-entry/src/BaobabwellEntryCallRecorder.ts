/** Logs and counts the life of each call: accepted, waiting, dispatched, retried, ended. */
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

/** Reasons that say nothing of the service: the caller or an operator decided the result. */
const UNCOUNTED_REASONS: ReadonlySet<CallReason> = new Set([
  CallReason.UnknownQueue,
  CallReason.KeyMissing,
  CallReason.KeyRefused,
  CallReason.TeamNotAllowed,
  CallReason.TargetLeaving,
  CallReason.Cancelled,
]);

/** What the recorder writes to. */
export type CallRecorderParts = {
  readonly logger: Logger;
  readonly metrics: EntryMetrics;
  /** Finds the objective of a queue. */
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

/** Records what happens to calls. Each log line carries the id of its call. */
export class CallRecorder {
  readonly #parts: CallRecorderParts;

  constructor(parts: CallRecorderParts) {
    this.#parts = parts;
  }

  /** Records what this entry found out about a worker. */
  recordWorker(event: WorkerEvent, { id, pool }: Pick<Host, 'id' | 'pool'>): void {
    this.#parts.metrics.workerEvents.inc({ pool, event });
    this.#parts.logger.recordWarning(event, { host: id, pool });
  }

  /** Records that a call came in. */
  recordAccepted({ id, queue, priority, isRepeatable }: CallRequest): void {
    this.#parts.logger.recordDebug('call-accepted', { call: id, queue, priority, isRepeatable });
  }

  /** Records that a call waits for a slot. */
  recordWaiting({ callId, pool, team, priority }: SlotRequest): void {
    this.#parts.logger.recordDebug('call-waiting', { call: callId, pool, team, priority });
  }

  /** Records the end of a wait. */
  recordTurn({ callId, pool, priority }: SlotRequest, waitMs: number, refusal: string): void {
    this.#parts.metrics.slotWaitSeconds.observe({ pool, priority }, waitMs / MS_PER_SECOND);
    this.#parts.logger.recordDebug('call-turn', {
      call: callId,
      pool,
      waitMs: Math.round(waitMs),
      refusal,
    });
  }

  /** Records that an attempt is sent to a worker. */
  recordDispatched({ id, queue, team }: Task, worker: string): void {
    this.#parts.logger.recordDebug('call-dispatched', {
      ...this.#parseTask(id),
      queue,
      team,
      worker,
    });
  }

  /** Records how an attempt ended; one that is not answered may be retried. */
  recordAttempt({ id, queue }: Task, { kind }: TaskOutcome, worker: string): void {
    this.#parts.metrics.attempts.inc({ queue, result: kind });
    if (kind !== 'answered') {
      const fields = { ...this.#parseTask(id), queue, worker, result: kind };
      this.#parts.logger.recordInfo('call-attempt-failed', fields);
    }
  }

  /** Records the result of a call. */
  recordEnded({ id, queue }: CallRequest, result: CallResult, durationMs: number): void {
    const { metrics, logger, findObjective } = this.#parts;
    const { outcome, reason } = result;
    // Callers choose the name: only those of the view may become label values.
    const label = reason === CallReason.UnknownQueue ? UNKNOWN_QUEUE_LABEL : queue;
    metrics.calls.inc({ queue: label, outcome, reason });
    metrics.callSeconds.observe({ queue: label }, durationMs / MS_PER_SECOND);
    const objective = findObjective(queue);
    if (objective !== null && !UNCOUNTED_REASONS.has(reason)) {
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
