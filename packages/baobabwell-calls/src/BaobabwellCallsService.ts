import type { ActiveCall, CallRequest, CallResult } from './BaobabwellCalls';
import type { AdmittedCall, AttemptDependencies } from './BaobabwellCallsAttempts';
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

/** Dependencies of {@link CallService}. */
export type CallServiceDependencies = {
  readonly clock: Clock;
  readonly random: Random;
  readonly getView: () => FleetView;
  /** Returns whether the view is recent enough to start work. */
  readonly isCurrent: () => boolean;
  readonly getScheduler: (pool: string) => PoolScheduler;
  readonly idempotency: IdempotencyRegistry;
};

/** Runs calls from receipt to result; each call gets exactly one result. */
export class CallService {
  readonly #dependencies: CallServiceDependencies;

  readonly #budget = new RetryBudget();

  readonly #parking: WorkParking;

  readonly #attemptDependencies: AttemptDependencies;

  readonly #activeCalls = new Map<string, AdmittedCall>();

  constructor(dependencies: CallServiceDependencies) {
    this.#dependencies = dependencies;
    this.#parking = new WorkParking(dependencies.clock);
    this.#attemptDependencies = {
      clock: dependencies.clock,
      random: dependencies.random,
      budget: this.#budget,
      parking: this.#parking,
      getScheduler: dependencies.getScheduler,
      findRefusal: (request) => {
        const checked = this.#authorize(request);
        return checked.ok ? null : checked.error;
      },
    };
  }

  /** Lists the waiting and running calls of this entry. */
  listActive(): readonly ActiveCall[] {
    return [...this.#activeCalls.values()].map(({ request, authorization, host, since }) => ({
      id: request.id,
      queue: request.queue,
      team: authorization.team,
      pool: authorization.target.pool,
      host,
      since,
    }));
  }

  /** Runs a call; aborting the signal cancels it. Never rejects. */
  async run(request: CallRequest, signal: AbortSignal): Promise<CallResult> {
    const { clock } = this.#dependencies;
    const authorization = this.#authorize(request);
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
    this.#activeCalls.set(request.id, call);
    try {
      const { idempotencyKey } = request;
      return await (idempotencyKey === null
        ? this.#runAttempts(call, signal)
        : this.#runKeyed(call, idempotencyKey, signal));
    } finally {
      this.#activeCalls.delete(request.id);
    }
  }

  async #runAttempts(call: AdmittedCall, signal: AbortSignal): Promise<CallResult> {
    const parkedMs = this.#parking.getRemainingMs(call.request);
    return parkedMs === null
      ? new CallAttempts(this.#attemptDependencies, call, signal).run()
      : buildParkedRefusal(parkedMs);
  }

  /**
   * Runs a call with an idempotency key, also after its caller disconnects, so that a repeat finds
   * the outcome.
   */
  async #runKeyed(call: AdmittedCall, key: string, signal: AbortSignal): Promise<CallResult> {
    let executed: CallResult | null = null;
    const keyed = await this.#dependencies.idempotency.run(
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

  #authorize(request: CallRequest): Result<Authorization, CallResult> {
    const { getView, isCurrent, clock } = this.#dependencies;
    if (!isCurrent()) {
      return createError(createNotRun(CallReason.ViewStale, RETRY_AFTER_MS));
    }
    const checked = checkAuthorization(getView(), request, clock.getWallTime());
    return checked.ok ? checked : createError(createNotRun(checked.error, null));
  }
}
