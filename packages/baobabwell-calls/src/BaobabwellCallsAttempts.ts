import type { CallRequest, CallResult } from './BaobabwellCalls';
import type { Authorization } from './BaobabwellCallsAuthorization';
import type { WorkParking } from './BaobabwellCallsParking';
import type { AbandonReason } from './BaobabwellCallsResults';
import type { RetryBudget } from './BaobabwellCallsRetryBudget';
import type { PoolScheduler, SlotGrant } from '@baobabwell/scheduling';
import type { Clock, Random } from '@baobabwell/utils';
import type { AnswerStream, Task, TaskOutcome } from '@baobabwell/workers';

import { Outcome } from '@baobabwell/model';

import { CallReason } from './BaobabwellCalls';
import {
  INITIAL_RETRY_BACKOFF_MS,
  MAX_ATTEMPTS,
  RETRY_AFTER_MS,
  STREAM_STALL_TIMEOUT_MS,
} from './BaobabwellCallsConstants';
import { buildAttemptResult, buildRefusal, createNotRun } from './BaobabwellCallsResults';

/** A call that passed authorization. */
export type AdmittedCall = {
  readonly request: CallRequest;
  readonly authorization: Authorization;
  /** Deadline on the monotonic clock, in milliseconds. */
  readonly deadlineAt: number;
  /** Wall-clock time of receipt, in milliseconds. */
  readonly since: number;
  /** The host on which it runs, or `null` while it waits. */
  host: string | null;
};

/** Dependencies of {@link CallAttempts}. */
export type AttemptDependencies = {
  readonly clock: Clock;
  readonly random: Random;
  readonly budget: RetryBudget;
  readonly parking: WorkParking;
  readonly getScheduler: (pool: string) => PoolScheduler;
  /** Returns the refusal of a call that may not start now, or `null` when it may start. */
  readonly findRefusal: (request: CallRequest) => CallResult | null;
};

/** Runs one admitted call on workers, with retries, until it has a result. */
export class CallAttempts {
  readonly #dependencies: AttemptDependencies;

  readonly #call: AdmittedCall;

  readonly #signal: AbortSignal;

  readonly #excludedHosts = new Set<string>();

  #attempts = 0;

  constructor(dependencies: AttemptDependencies, call: AdmittedCall, signal: AbortSignal) {
    this.#dependencies = dependencies;
    this.#call = call;
    this.#signal = signal;
  }

  /** Runs attempts until one succeeds or no retry is allowed. Never rejects. */
  async run(): Promise<CallResult> {
    let last = null as CallResult | null;
    for (;;) {
      const grant = await this.#acquireSlot();
      if (!grant.ok) {
        return last ?? buildRefusal(grant.error);
      }
      const result = await this.#runAttempt(grant.value);
      // A later attempt that did not run does not change that an earlier one may have run.
      last = last?.outcome === Outcome.Unknown && result.outcome === Outcome.NotRun ? last : result;
      if (!this.#canRetry(result) || !(await this.#waitForBackoff())) {
        return last;
      }
    }
  }

  #canRetry({ outcome, reason }: CallResult): boolean {
    const isRetryable =
      outcome === Outcome.NotRun
        ? reason === CallReason.WorkerUnreachable
        : outcome === Outcome.Unknown && this.#call.request.isRepeatable;
    return (
      isRetryable &&
      !this.#signal.aborted &&
      this.#attempts < MAX_ATTEMPTS &&
      this.#dependencies.budget.acquireRetry()
    );
  }

  /**
   * Waits for the retry backoff; returns `false` if the deadline comes first or the call is
   * cancelled.
   */
  async #waitForBackoff(): Promise<boolean> {
    const { clock, random } = this.#dependencies;
    const meanBackoffMs = INITIAL_RETRY_BACKOFF_MS * 2 ** (this.#attempts - 1);
    const backoffMs = meanBackoffMs * (0.5 + random.getFraction());
    if (clock.getNow() + backoffMs >= this.#call.deadlineAt) {
      return false;
    }
    await clock.wait(backoffMs, this.#signal);
    return !this.#signal.aborted;
  }

  async #acquireSlot(): ReturnType<PoolScheduler['acquire']> {
    const { request, authorization, deadlineAt } = this.#call;
    const { pool } = authorization.target;
    for (;;) {
      const grant = await this.#dependencies.getScheduler(pool).acquire(
        {
          callId: request.id,
          pool,
          team: authorization.team,
          priority: request.priority,
          deadlineAt,
          excludedHosts: this.#excludedHosts,
        },
        this.#signal,
      );
      if (!grant.ok || this.#canRunOn(grant.value)) {
        return grant;
      }
      this.#excludedHosts.add(grant.value.session.host);
      grant.value.release();
    }
  }

  /**
   * Returns whether the call may run on the granted worker. Work that must not run twice does not
   * probe a suspect worker while repeatable work may do so, until the probe is overdue.
   */
  #canRunOn({ session }: SlotGrant): boolean {
    return (
      this.#call.request.isRepeatable ||
      !session.isSuspect() ||
      session.health.isProbeOverdue(this.#dependencies.clock.getNow())
    );
  }

  async #runAttempt(grant: SlotGrant): Promise<CallResult> {
    // Authorization may have changed while the call waited for its slot.
    const refusal = this.#dependencies.findRefusal(this.#call.request);
    if (refusal !== null) {
      grant.release();
      return refusal;
    }
    const { clock } = this.#dependencies;
    const deadline = new AbortController();
    const timeoutMs = Math.max(1, this.#call.deadlineAt - clock.getNow());
    const cancelTimer = clock.startTimer(timeoutMs, () => deadline.abort());
    const task = this.#buildTask(grant, timeoutMs);
    this.#attempts += 1;
    this.#excludedHosts.add(grant.session.host);
    this.#call.host = grant.session.host;
    const signal = AbortSignal.any([this.#signal, deadline.signal]);
    const outcome = await grant.session.runTask(task, signal);
    this.#call.host = null;
    void this.#release(grant, task, outcome).then(cancelTimer);
    this.#recordOutcome(grant, outcome);
    const abandonReason = this.#findAbandonReason(deadline.signal.aborted);
    return buildAttemptResult(outcome, this.#call.request.isRepeatable, abandonReason);
  }

  #findAbandonReason(isPastDeadline: boolean): AbandonReason {
    if (this.#signal.aborted) {
      return CallReason.Cancelled;
    }
    return isPastDeadline ? CallReason.Deadline : null;
  }

  /** Releases slot and permit once the worker no longer runs the task. */
  async #release(grant: SlotGrant, task: Task, outcome: TaskOutcome): Promise<void> {
    const stream = outcome.kind === 'answered' ? outcome.answer.stream : null;
    const isLost =
      stream === null ? outcome.kind === 'lost' : !(await this.#waitForStreamEnd(stream));
    if (isLost) {
      await grant.session.waitForEnd(task.id);
    }
    grant.release();
  }

  /** Destroys a stalled answer stream; resolves to whether the answer was complete. */
  async #waitForStreamEnd(stream: AnswerStream): Promise<boolean> {
    const ended = new AbortController();
    void stream.ended.then(() => ended.abort());
    let receivedBytes = -1;
    while (!ended.signal.aborted) {
      if (stream.getReceivedBytes() === receivedBytes) {
        stream.destroy(new Error('the answer stream stalled'));
      }
      receivedBytes = stream.getReceivedBytes();
      await this.#dependencies.clock.wait(STREAM_STALL_TIMEOUT_MS, ended.signal);
    }
    return stream.ended;
  }

  #recordOutcome({ session }: SlotGrant, outcome: TaskOutcome): void {
    const { parking } = this.#dependencies;
    const { request } = this.#call;
    if (outcome.kind === 'failed') {
      parking.recordFailure(request, session.host, () => session.health.withdrawFailure());
    }
    if (outcome.kind === 'answered') {
      parking.recordSuccess(request);
    }
  }

  #buildTask(grant: SlotGrant, timeoutMs: number): Task {
    const { request, authorization } = this.#call;
    return {
      id: `${request.id}.${this.#attempts}`,
      holder: grant.session.holder,
      team: authorization.team,
      queue: request.queue,
      contentType: request.contentType,
      body: request.body,
      priority: request.priority,
      // A call with an idempotency key stores its answer for repeats, and stores complete answers
      // only.
      isStreamable: request.idempotencyKey === null,
      timeoutMs,
      canStart: () => this.#dependencies.findRefusal(request) === null,
    };
  }
}

/** Builds the result that refuses parked work. */
export function buildParkedRefusal(remainingMs: number): CallResult {
  return createNotRun(CallReason.WorkParked, Math.max(RETRY_AFTER_MS, remainingMs));
}
