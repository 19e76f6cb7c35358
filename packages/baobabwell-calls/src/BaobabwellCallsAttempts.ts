import type { CallRequest, CallResult } from './BaobabwellCalls';
import type { Authorization } from './BaobabwellCallsAuthorization';
import type { WorkParking } from './BaobabwellCallsParking';
import type { GivenUp } from './BaobabwellCallsResults';
import type { RetryBudget } from './BaobabwellCallsRetryBudget';
import type { PoolScheduler, Turn } from '@baobabwell/scheduling';
import type { Clock, Random } from '@baobabwell/utils';
import type { AnswerStream, Task, TaskOutcome } from '@baobabwell/workers';

import { Outcome } from '@baobabwell/model';

import { CallReason } from './BaobabwellCalls';
import {
  MAX_ATTEMPTS,
  PROGRESS_TIMEOUT_MS,
  RETRY_AFTER_MS,
  RETRY_WAIT_MS,
} from './BaobabwellCallsConstants';
import { buildAttemptResult, buildRefusal, createNotRun } from './BaobabwellCallsResults';

/** A call that was admitted. */
export type AdmittedCall = {
  readonly request: CallRequest;
  readonly authorization: Authorization;
  /** Monotonic milliseconds. */
  readonly deadlineAt: number;
  /** Wall-clock milliseconds. */
  readonly since: number;
  /** The host on which it runs, or `null` while it waits. */
  host: string | null;
};

/** What attempts work with. */
export type AttemptParts = {
  readonly clock: Clock;
  readonly random: Random;
  readonly budget: RetryBudget;
  readonly parking: WorkParking;
  readonly getScheduler: (pool: string) => PoolScheduler;
  /** Why the call may not start now, or `null` when it may. */
  readonly findObstacle: (request: CallRequest) => CallResult | null;
};

/** Tries one admitted call on workers until it has its result. */
export class CallAttempts {
  readonly #parts: AttemptParts;

  readonly #call: AdmittedCall;

  readonly #signal: AbortSignal;

  readonly #excludedHosts = new Set<string>();

  #attempts = 0;

  constructor(parts: AttemptParts, call: AdmittedCall, signal: AbortSignal) {
    this.#parts = parts;
    this.#call = call;
    this.#signal = signal;
  }

  /** Runs the attempts. Never rejects. */
  async run(): Promise<CallResult> {
    let last = null as CallResult | null;
    for (;;) {
      const turn = await this.#acquireTurn();
      if (!turn.ok) {
        return last ?? buildRefusal(turn.error);
      }
      const result = await this.#runTurn(turn.value);
      // An earlier attempt that may have run is not undone by a later one that did not.
      last = last?.outcome === Outcome.Unknown && result.outcome === Outcome.NotRun ? last : result;
      if (!this.#mayRetry(result) || !(await this.#waitForRetry())) {
        return last;
      }
    }
  }

  #mayRetry({ outcome, reason }: CallResult): boolean {
    const isPassing =
      outcome === Outcome.NotRun
        ? reason === CallReason.WorkerUnreachable
        : outcome === Outcome.Unknown && this.#call.request.isRepeatable;
    return (
      isPassing &&
      !this.#signal.aborted &&
      this.#attempts < MAX_ATTEMPTS &&
      this.#parts.budget.acquire()
    );
  }

  /** Waits before a retry; `false` when the deadline comes first. */
  async #waitForRetry(): Promise<boolean> {
    const { clock, random } = this.#parts;
    const meanMs = RETRY_WAIT_MS * 2 ** (this.#attempts - 1);
    const waitMs = meanMs * (0.5 + random.getFraction());
    if (clock.getNow() + waitMs >= this.#call.deadlineAt) {
      return false;
    }
    await clock.wait(waitMs, this.#signal);
    return !this.#signal.aborted;
  }

  async #acquireTurn(): ReturnType<PoolScheduler['acquire']> {
    const { request, authorization, deadlineAt } = this.#call;
    const { pool } = authorization.target;
    for (;;) {
      const turn = await this.#parts.getScheduler(pool).acquire(
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
      if (!turn.ok || this.#isFit(turn.value)) {
        return turn;
      }
      this.#excludedHosts.add(turn.value.session.host);
      turn.value.release();
    }
  }

  /** Work that must not run twice is no probe of a suspect worker while other work may be. */
  #isFit({ session }: Turn): boolean {
    return (
      this.#call.request.isRepeatable ||
      !session.isSuspect() ||
      session.health.isProbeOverdue(this.#parts.clock.getNow())
    );
  }

  async #runTurn(turn: Turn): Promise<CallResult> {
    // The wait may have been long: what was allowed on arrival may be forbidden now.
    const obstacle = this.#parts.findObstacle(this.#call.request);
    if (obstacle !== null) {
      turn.release();
      return obstacle;
    }
    const { clock } = this.#parts;
    const deadline = new AbortController();
    const timeoutMs = Math.max(1, this.#call.deadlineAt - clock.getNow());
    const cancelTimer = clock.startTimer(timeoutMs, () => deadline.abort());
    const task = this.#buildTask(turn, timeoutMs);
    this.#attempts += 1;
    this.#excludedHosts.add(turn.session.host);
    this.#call.host = turn.session.host;
    const signal = AbortSignal.any([this.#signal, deadline.signal]);
    const outcome = await turn.session.runTask(task, signal);
    this.#call.host = null;
    void this.#release(turn, task, outcome).then(cancelTimer);
    this.#recordWork(turn, outcome);
    const givenUp = this.#findGivenUp(deadline.signal.aborted);
    return buildAttemptResult(outcome, this.#call.request.isRepeatable, givenUp);
  }

  #findGivenUp(isLate: boolean): GivenUp {
    if (this.#signal.aborted) {
      return CallReason.Cancelled;
    }
    return isLate ? CallReason.Deadline : null;
  }

  /** Slot and permit stay taken until the worker has let go of the work. */
  async #release(turn: Turn, task: Task, outcome: TaskOutcome): Promise<void> {
    const stream = outcome.kind === 'answered' ? outcome.answer.stream : null;
    const isLost = stream === null ? outcome.kind === 'lost' : !(await this.#followStream(stream));
    if (isLost) {
      await turn.session.waitForEnd(task.id);
    }
    turn.release();
  }

  /** Ends an answer that stands still; resolves to whether it was whole. */
  async #followStream(stream: AnswerStream): Promise<boolean> {
    const ended = new AbortController();
    void stream.ended.then(() => ended.abort());
    let receivedBytes = -1;
    while (!ended.signal.aborted) {
      if (stream.getReceivedBytes() === receivedBytes) {
        stream.destroy(new Error('the answer stands still'));
      }
      receivedBytes = stream.getReceivedBytes();
      await this.#parts.clock.wait(PROGRESS_TIMEOUT_MS, ended.signal);
    }
    return stream.ended;
  }

  #recordWork({ session }: Turn, outcome: TaskOutcome): void {
    const { parking } = this.#parts;
    const { request } = this.#call;
    if (outcome.kind === 'failed') {
      parking.recordFailure(request, session.host, () => session.health.withdrawFailure());
    }
    if (outcome.kind === 'answered') {
      parking.recordSuccess(request);
    }
  }

  #buildTask(turn: Turn, timeoutMs: number): Task {
    const { request, authorization } = this.#call;
    return {
      id: `${request.id}.${this.#attempts}`,
      holder: turn.session.holder,
      team: authorization.team,
      queue: request.queue,
      contentType: request.contentType,
      body: request.body,
      priority: request.priority,
      // A keyed answer is kept for repeats, and only whole ones are.
      isStreamable: request.idempotencyKey === null,
      timeoutMs,
      canStart: () => this.#parts.findObstacle(request) === null,
    };
  }
}

/** Builds the refusal of parked work. */
export function buildParkedRefusal(remainingMs: number): CallResult {
  return createNotRun(CallReason.WorkParked, Math.max(RETRY_AFTER_MS, remainingMs));
}
