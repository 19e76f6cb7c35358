import type { CallResult } from './BaobabwellCalls';
import type { SlotRefusal } from '@baobabwell/scheduling';
import type { TaskOutcome } from '@baobabwell/workers';

import { Outcome } from '@baobabwell/model';

import { CallReason } from './BaobabwellCalls';
import { RETRY_AFTER_MS } from './BaobabwellCallsConstants';

/** Builds the result of a call whose work certainly did not run. */
export function createNotRun(reason: CallReason, retryAfterMs: number | null): CallResult {
  return { outcome: Outcome.NotRun, reason, isRepeatSafe: true, retryAfterMs, answer: null };
}

/** Builds the result of a call whose work may have run. */
export function createUnknown(reason: CallReason, isRepeatSafe: boolean): CallResult {
  return {
    outcome: Outcome.Unknown,
    reason,
    isRepeatSafe,
    retryAfterMs: isRepeatSafe ? RETRY_AFTER_MS : null,
    answer: null,
  };
}

/** Builds the result of a call that was refused a slot. */
export function buildRefusal(refusal: SlotRefusal): CallResult {
  switch (refusal.kind) {
    case 'queue-full':
      return createNotRun(CallReason.QueueFull, refusal.retryAfterMs);
    case 'deadline':
      return createNotRun(CallReason.Deadline, refusal.retryAfterMs);
    case 'cancelled':
      return createNotRun(CallReason.Cancelled, null);
    case 'no-host':
      return createNotRun(CallReason.NoHost, RETRY_AFTER_MS);
    case 'stopping':
      return createNotRun(CallReason.EntryStopping, RETRY_AFTER_MS);
  }
}

/** Reason for abandoning an attempt before its answer, or `null`. */
export type AbandonReason = CallReason.Deadline | CallReason.Cancelled | null;

/** Builds the result of one attempt on a worker. */
export function buildAttemptResult(
  outcome: TaskOutcome,
  isRepeatable: boolean,
  abandonReason: AbandonReason,
): CallResult {
  switch (outcome.kind) {
    case 'answered':
      return {
        outcome: Outcome.Completed,
        reason: CallReason.Answered,
        isRepeatSafe: isRepeatable,
        retryAfterMs: null,
        answer: outcome.answer,
      };
    case 'not-sent':
      return createNotRun(abandonReason ?? CallReason.WorkerUnreachable, RETRY_AFTER_MS);
    case 'rejected':
      return createUnknown(CallReason.WorkerRejected, isRepeatable);
    case 'failed':
      return createUnknown(CallReason.WorkFailed, isRepeatable);
    case 'lost':
      return createUnknown(abandonReason ?? CallReason.AnswerLost, isRepeatable);
  }
}
