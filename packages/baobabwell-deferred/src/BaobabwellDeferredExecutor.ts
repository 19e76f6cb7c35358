import type { Work } from './BaobabwellDeferred';
import type { AttemptResult } from './BaobabwellDeferredRunner';
import type { CallService } from '@baobabwell/calls';
import type { Clock } from '@baobabwell/utils';

import { CallReason } from '@baobabwell/calls';
import { Outcome } from '@baobabwell/model';

import { WorkExecutor } from './BaobabwellDeferredRunner';

/** Reasons after which work is not retried. */
const FINAL_REASONS: ReadonlySet<CallReason> = new Set([
  CallReason.UnknownQueue,
  CallReason.TargetLeaving,
  CallReason.WorkParked,
  CallReason.Cancelled,
]);

/** Runs deferred work through the call service. */
export class CallExecutor extends WorkExecutor {
  readonly #calls: CallService;

  readonly #clock: Clock;

  constructor(calls: CallService, clock: Clock) {
    super();
    this.#calls = calls;
    this.#clock = clock;
  }

  override async run(work: Work, body: Uint8Array, signal: AbortSignal): Promise<AttemptResult> {
    const { outcome, reason, answer } = await this.#calls.run(
      {
        id: `${work.id}.${work.attempts}`,
        queue: work.queue,
        secret: null,
        acceptedTeam: work.team,
        priority: work.priority,
        timeoutMs: Math.max(1, work.deadlineAt - this.#clock.getWallTime()),
        isRepeatable: work.isRepeatable,
        idempotencyKey: null,
        contentType: work.contentType,
        body,
      },
      signal,
    );
    const canRetry =
      !FINAL_REASONS.has(reason) && (outcome === Outcome.NotRun || work.isRepeatable);
    return { outcome, reason, canRetry, answer };
  }
}
