import type { ActiveCall, CallRequest, CallResult } from './BaobabwellCalls';
import type { Authorization } from './BaobabwellCallsAuthorization';
import type { FleetView } from '@baobabwell/model';
import type { PoolScheduler, Turn, TurnRefusal } from '@baobabwell/scheduling';
import type { Clock } from '@baobabwell/utils';
import type { Task, TaskOutcome } from '@baobabwell/workers';

import { Outcome } from '@baobabwell/model';

import { CallReason } from './BaobabwellCalls';
import { checkAuthorization } from './BaobabwellCallsAuthorization';

const MAX_ATTEMPTS = 3;
const RETRY_AFTER_MS = 1_000;

/** What the call service works with. */
export type CallServiceParts = {
  readonly clock: Clock;
  readonly getView: () => FleetView;
  /** Whether the view is recent enough to start work. */
  readonly isCurrent: () => boolean;
  readonly getScheduler: (pool: string) => PoolScheduler;
};

type RunningCall = {
  readonly request: CallRequest;
  readonly authorization: Authorization;
  readonly deadlineAt: number;
  readonly since: number;
  host: string | null;
};

type Attempt = { readonly result: CallResult; readonly mayRetry: boolean };

function createNotRun(reason: CallReason, retryAfterMs: number | null): CallResult {
  return { outcome: Outcome.NotRun, reason, isRepeatSafe: true, retryAfterMs, answer: null };
}

function createUnknown(reason: CallReason, isRepeatable: boolean): CallResult {
  return {
    outcome: Outcome.Unknown,
    reason,
    isRepeatSafe: isRepeatable,
    retryAfterMs: isRepeatable ? RETRY_AFTER_MS : null,
    answer: null,
  };
}

function buildRefusal(refusal: TurnRefusal): CallResult {
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
      return createNotRun(CallReason.EntryStopping, 0);
  }
}

function buildAttempt(outcome: TaskOutcome, isRepeatable: boolean): Attempt {
  switch (outcome.kind) {
    case 'answered':
      return {
        result: {
          outcome: Outcome.Completed,
          reason: CallReason.Answered,
          isRepeatSafe: isRepeatable,
          retryAfterMs: null,
          answer: outcome.answer,
        },
        mayRetry: false,
      };
    case 'not-sent':
      return {
        result: createNotRun(CallReason.WorkerUnreachable, RETRY_AFTER_MS),
        mayRetry: true,
      };
    case 'rejected':
      return {
        result: createUnknown(CallReason.WorkerRejected, isRepeatable),
        mayRetry: isRepeatable,
      };
    case 'failed':
      return { result: createUnknown(CallReason.WorkFailed, isRepeatable), mayRetry: isRepeatable };
    case 'lost':
      return { result: createUnknown(CallReason.AnswerLost, isRepeatable), mayRetry: isRepeatable };
  }
}

/** Takes a call from its receipt to its only result. */
export class CallService {
  readonly #parts: CallServiceParts;

  readonly #running = new Map<string, RunningCall>();

  constructor(parts: CallServiceParts) {
    this.#parts = parts;
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
    const timeoutMs = request.timeoutMs ?? authorization.value.queue.deadlineMs;
    const call: RunningCall = {
      request,
      authorization: authorization.value,
      deadlineAt: clock.getNow() + timeoutMs,
      since: clock.getWallTime(),
      host: null,
    };
    this.#running.set(request.id, call);
    try {
      return await this.#runAttempts(call, signal);
    } finally {
      this.#running.delete(request.id);
    }
  }

  #check(
    request: CallRequest,
  ): { ok: true; value: Authorization } | { ok: false; error: CallResult } {
    const { getView, isCurrent, clock } = this.#parts;
    if (!isCurrent()) {
      return { ok: false, error: createNotRun(CallReason.ViewStale, RETRY_AFTER_MS) };
    }
    const checked = checkAuthorization(getView(), request, clock.getWallTime());
    return checked.ok ? checked : { ok: false, error: createNotRun(checked.error, null) };
  }

  async #runAttempts(call: RunningCall, signal: AbortSignal): Promise<CallResult> {
    const excludedHosts = new Set<string>();
    let last = null as CallResult | null;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const turn = await this.#acquireTurn(call, excludedHosts, signal);
      if (!turn.ok) {
        return last ?? buildRefusal(turn.error);
      }
      excludedHosts.add(turn.value.session.host);
      const { result, mayRetry } = await this.#runTurn(call, turn.value, attempt, signal);
      if (!mayRetry) {
        return result;
      }
      last = last?.outcome === Outcome.Unknown ? last : result;
    }
    return last ?? createNotRun(CallReason.NoHost, RETRY_AFTER_MS);
  }

  async #acquireTurn(
    { request, authorization, deadlineAt }: RunningCall,
    excludedHosts: ReadonlySet<string>,
    signal: AbortSignal,
  ): ReturnType<PoolScheduler['acquire']> {
    const { pool } = authorization.target;
    const scheduler = this.#parts.getScheduler(pool);
    return scheduler.acquire(
      {
        callId: request.id,
        pool,
        team: authorization.team,
        priority: request.priority,
        deadlineAt,
        excludedHosts,
      },
      signal,
    );
  }

  async #runTurn(
    call: RunningCall,
    turn: Turn,
    attempt: number,
    signal: AbortSignal,
  ): Promise<Attempt> {
    // The wait may have been long: what was allowed on arrival may be forbidden now.
    const checked = this.#check(call.request);
    if (!checked.ok) {
      turn.release();
      return { result: checked.error, mayRetry: false };
    }
    Object.assign(call, { host: turn.session.host });
    const deadline = new AbortController();
    const timeoutMs = Math.max(0, call.deadlineAt - this.#parts.clock.getNow());
    const cancelTimer = this.#parts.clock.startTimer(timeoutMs, () => deadline.abort());
    try {
      const task = this.#buildTask(call, turn, attempt, timeoutMs);
      const outcome = await turn.session.client.run(
        task,
        AbortSignal.any([signal, deadline.signal]),
      );
      if (outcome.kind === 'lost') {
        void turn.abandon(task.id);
      } else {
        turn.release();
      }
      return buildAttempt(outcome, call.request.isRepeatable);
    } finally {
      cancelTimer();
      Object.assign(call, { host: null });
    }
  }

  #buildTask(call: RunningCall, turn: Turn, attempt: number, timeoutMs: number): Task {
    const { request, authorization } = call;
    return {
      id: `${request.id}.${attempt}`,
      holder: turn.session.holder,
      team: authorization.team,
      queue: request.queue,
      contentType: request.contentType,
      body: request.body,
      timeoutMs,
    };
  }
}
