import type { ActiveCall, CallRequest, CallResult } from './BaobabwellCalls';
import type { AdmittedCall, AttemptParts } from './BaobabwellCallsAttempts';
import type { Authorization } from './BaobabwellCallsAuthorization';
import type { IdempotencyRegistry } from '@baobabwell/idempotency';
import type { FleetView } from '@baobabwell/model';
import type { PoolScheduler } from '@baobabwell/scheduling';
import type { Clock, Random, Result } from '@baobabwell/utils';

import { createError } from '@baobabwell/utils';

import { CallReason } from './BaobabwellCalls';
import { buildParkedRefusal, CallAttempts } from './BaobabwellCallsAttempts';
import { checkAuthorization } from './BaobabwellCallsAuthorization';
import { RETRY_AFTER_MS } from './BaobabwellCallsConstants';
import { buildKeyedCall, buildKeyedResult } from './BaobabwellCallsKeyed';
import { WorkParking } from './BaobabwellCallsParking';
import { createNotRun } from './BaobabwellCallsResults';
import { RetryBudget } from './BaobabwellCallsRetryBudget';

/** What the call service works with. */
export type CallServiceParts = {
  readonly clock: Clock;
  readonly random: Random;
  readonly getView: () => FleetView;
  /** Whether the view is recent enough to start work. */
  readonly isCurrent: () => boolean;
  readonly getScheduler: (pool: string) => PoolScheduler;
  readonly idempotency: IdempotencyRegistry;
};

/** Takes a call from its receipt to its only result. */
export class CallService {
  readonly #parts: CallServiceParts;

  readonly #budget = new RetryBudget();

  readonly #parking: WorkParking;

  readonly #attemptParts: AttemptParts;

  readonly #running = new Map<string, AdmittedCall>();

  constructor(parts: CallServiceParts) {
    this.#parts = parts;
    this.#parking = new WorkParking(parts.clock);
    this.#attemptParts = {
      clock: parts.clock,
      random: parts.random,
      budget: this.#budget,
      parking: this.#parking,
      getScheduler: parts.getScheduler,
      findObstacle: (request) => {
        const checked = this.#check(request);
        return checked.ok ? null : checked.error;
      },
    };
  }

  /** Lists the calls that wait or run at this entry. */
  listActive(): readonly ActiveCall[] {
    return [...this.#running.values()].map(({ request, authorization, host, since }) => ({
      id: request.id,
      queue: request.queue,
      team: authorization.team,
      pool: authorization.target.pool,
      host,
      since,
    }));
  }

  /** Runs a call; aborting the signal gives it up. Never rejects. */
  async run(request: CallRequest, signal: AbortSignal): Promise<CallResult> {
    const { clock } = this.#parts;
    const authorization = this.#check(request);
    if (!authorization.ok) {
      return authorization.error;
    }
    this.#budget.recordCall();
    const timeoutMs = request.timeoutMs ?? authorization.value.queue.deadlineMs;
    const call: AdmittedCall = {
      request,
      authorization: authorization.value,
      deadlineAt: clock.getNow() + timeoutMs,
      since: clock.getWallTime(),
      host: null,
    };
    this.#running.set(request.id, call);
    try {
      const { idempotencyKey } = request;
      return await (idempotencyKey === null
        ? this.#runAttempts(call, signal)
        : this.#runKeyed(call, idempotencyKey, signal));
    } finally {
      this.#running.delete(request.id);
    }
  }

  async #runAttempts(call: AdmittedCall, signal: AbortSignal): Promise<CallResult> {
    const parkedMs = this.#parking.getRemaining(call.request);
    return parkedMs === null
      ? new CallAttempts(this.#attemptParts, call, signal).run()
      : buildParkedRefusal(parkedMs);
  }

  /** Work with a key goes on when its caller goes away, so that a repeat finds its outcome. */
  async #runKeyed(call: AdmittedCall, key: string, signal: AbortSignal): Promise<CallResult> {
    let executed: CallResult | null = null;
    const keyed = await this.#parts.idempotency.run(
      buildKeyedCall(call, key),
      async () => {
        executed = await this.#runAttempts(call, new AbortController().signal);
        return executed;
      },
      signal,
    );
    if (keyed.kind === 'unavailable' && call.request.isRepeatable) {
      return this.#runAttempts(call, signal);
    }
    return buildKeyedResult(keyed, executed, signal.aborted);
  }

  #check(request: CallRequest): Result<Authorization, CallResult> {
    const { getView, isCurrent, clock } = this.#parts;
    if (!isCurrent()) {
      return createError(createNotRun(CallReason.ViewStale, RETRY_AFTER_MS));
    }
    const checked = checkAuthorization(getView(), request, clock.getWallTime());
    return checked.ok ? checked : createError(createNotRun(checked.error, null));
  }
}
