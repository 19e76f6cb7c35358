import type { CallResult } from './BaobabwellCalls';
import type { AdmittedCall } from './BaobabwellCallsAttempts';
import type { KeyedCall, KeyedResult } from '@baobabwell/idempotency';

import { createHash } from 'node:crypto';

import { checkInvariant } from '@baobabwell/utils';

import { CallReason } from './BaobabwellCalls';
import { createNotRun, createUnknown } from './BaobabwellCallsResults';

const STORE_RETRY_AFTER_MS = 2_000;

/** Builds the key, fingerprint and options under which an idempotent call is registered. */
export function buildKeyedCall(
  { request, authorization, deadlineAt }: AdmittedCall,
  key: string,
): KeyedCall {
  const { queue, contentType, isRepeatable, body } = request;
  const fingerprint = createHash('sha256')
    .update(JSON.stringify([queue, contentType, isRepeatable]))
    .update(body)
    .digest('base64url');
  return { key, team: authorization.team, fingerprint, isRepeatable, deadlineAt };
}

/** Builds the result of a call with an idempotency key, which makes a repeat safe. */
export function buildKeyedResult(
  keyed: KeyedResult,
  executed: CallResult | null,
  isCancelled: boolean,
): CallResult {
  switch (keyed.kind) {
    case 'executed':
      checkInvariant(executed !== null, 'executed work has a result');
      return { ...executed, isRepeatSafe: true };
    case 'kept': {
      const { outcome, reason, answer } = keyed.result;
      return {
        outcome,
        reason: reason as CallReason,
        isRepeatSafe: true,
        retryAfterMs: null,
        answer: answer === null ? null : { ...answer, stream: null },
      };
    }
    case 'other-request':
      return createNotRun(CallReason.IdempotencyKeyReused, null);
    case 'other-team':
      return createNotRun(CallReason.IdempotencyKeyForeign, null);
    case 'unavailable':
      return createNotRun(CallReason.StoreUnavailable, STORE_RETRY_AFTER_MS);
    case 'in-progress':
      return createUnknown(isCancelled ? CallReason.Cancelled : CallReason.InProgress, true);
    case 'unreadable':
      return createUnknown(CallReason.StoreUnavailable, true);
  }
}
