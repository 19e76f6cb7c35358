import type { Permit, PermitPool } from './BaobabwellSchedulingPermits';
import type { Turn, TurnRefusal, TurnRequest } from './BaobabwellSchedulingTurns';
import type { CancelTimer, Clock, Result } from '@baobabwell/utils';
import type { WorkerSession } from '@baobabwell/workers';

import { createError, createOk } from '@baobabwell/utils';

import { FairQueue } from './BaobabwellSchedulingFairQueue';

const MAX_WAITING = 2_000;
const MIN_RETRY_AFTER_MS = 1_000;
const INITIAL_RUN_MS = 50;
const RUN_SMOOTHING = 0.1;

type Waiting = {
  readonly request: TurnRequest;
  readonly resolve: (result: Result<Turn, TurnRefusal>) => void;
  cancelTimer: CancelTimer | null;
};

/** What the scheduler of a pool works with. */
export type PoolSchedulerParts = {
  readonly clock: Clock;
  readonly permits: PermitPool;
  readonly getWeight: (team: string) => number;
  /** Sessions with the hosts of the pool that take new work. */
  readonly listSessions: () => readonly WorkerSession[];
};

/** Gives the slots of one pool to waiting calls, by fair share and within permits. */
export class PoolScheduler {
  readonly #parts: PoolSchedulerParts;

  readonly #waiting: FairQueue<Waiting>;

  #meanRunMs = INITIAL_RUN_MS;

  #isStopping = false;

  constructor(parts: PoolSchedulerParts) {
    this.#parts = parts;
    this.#waiting = new FairQueue(parts.getWeight);
  }

  /** Number of calls that wait for a slot. */
  getWaitingCount(): number {
    return this.#waiting.size;
  }

  /** Waits for a slot; aborting the signal ends the wait. */
  async acquire(request: TurnRequest, signal: AbortSignal): Promise<Result<Turn, TurnRefusal>> {
    if (this.#isStopping) {
      return createError({ kind: 'stopping' });
    }
    if (this.#waiting.size >= MAX_WAITING) {
      return createError({ kind: 'queue-full', retryAfterMs: this.#getRetryAfter() });
    }
    if (this.#isWithoutHost(request)) {
      return createError({ kind: 'no-host' });
    }
    return new Promise((resolve) => {
      this.#add(request, signal, resolve);
      this.dispatchTurns();
    });
  }

  /** Gives out every slot that can be given out now, and asks workers for more. */
  dispatchTurns(): void {
    while (this.#waiting.size > 0 && this.#dispatchOne()) {
      // Each round gives out one slot.
    }
    this.#requestSlots();
  }

  /** Refuses every waiting call and all later ones. */
  stop(): void {
    this.#isStopping = true;
    this.#waiting.listTeams().forEach((team) => {
      [...this.#waiting.listItems(team)].forEach((waiting) => {
        this.#refuse(waiting, { kind: 'stopping' });
      });
    });
  }

  /** True when every host of the pool is excluded; waiting would be useless. */
  #isWithoutHost({ excludedHosts }: TurnRequest): boolean {
    return (
      excludedHosts.size > 0 &&
      this.#parts.listSessions().every(({ host }) => excludedHosts.has(host))
    );
  }

  #add(
    request: TurnRequest,
    signal: AbortSignal,
    resolve: (result: Result<Turn, TurnRefusal>) => void,
  ): void {
    const { clock } = this.#parts;
    const waiting: Waiting = {
      request,
      resolve: (result) => {
        signal.removeEventListener('abort', onAbort);
        resolve(result);
      },
      cancelTimer: null,
    };
    const onAbort = (): void => this.#refuse(waiting, { kind: 'cancelled' });
    this.#waiting.add(request.team, waiting);
    this.#parts.permits.addWaiting(request.team, 1);
    waiting.cancelTimer = clock.startTimer(request.deadlineAt - clock.getNow(), () => {
      this.#refuse(waiting, { kind: 'deadline', retryAfterMs: this.#getRetryAfter() });
    });
    if (signal.aborted) {
      onAbort();
    } else {
      signal.addEventListener('abort', onAbort, { once: true });
    }
  }

  #refuse(waiting: Waiting, refusal: TurnRefusal): void {
    if (this.#remove(waiting)) {
      waiting.resolve(createError(refusal));
    }
  }

  #remove(waiting: Waiting): boolean {
    waiting.cancelTimer?.();
    const wasThere = this.#waiting.remove(waiting.request.team, waiting);
    if (wasThere) {
      this.#parts.permits.addWaiting(waiting.request.team, -1);
    }
    return wasThere;
  }

  #dispatchOne(): boolean {
    const sessions = this.#parts.listSessions().filter((session) => session.getUsableSlots() > 0);
    if (sessions.length === 0) {
      return false;
    }
    return this.#waiting.listTeams().some((team) => this.#dispatchTeam(team, sessions));
  }

  /** Looks for a fitting host before it takes a permit: a permit given back wakes the pools. */
  #dispatchTeam(team: string, sessions: readonly WorkerSession[]): boolean {
    for (const waiting of this.#waiting.listItems(team)) {
      const session = sessions
        .filter(({ host }) => !waiting.request.excludedHosts.has(host))
        .toSorted((a, b) => a.getSlotsInUse() - b.getSlotsInUse())[0];
      if (session !== undefined) {
        const permit = this.#parts.permits.acquire(team);
        if (permit === null) {
          return false;
        }
        this.#remove(waiting);
        waiting.resolve(createOk(this.#createTurn(team, permit, session)));
        return true;
      }
    }
    return false;
  }

  #createTurn(team: string, permit: Permit, session: WorkerSession): Turn {
    const { clock } = this.#parts;
    const startedAt = clock.getNow();
    session.acquireSlot();
    this.#waiting.recordUse(team, this.#meanRunMs);
    const release = (): void => {
      const runMs = clock.getNow() - startedAt;
      this.#waiting.recordUse(team, runMs - this.#meanRunMs);
      this.#meanRunMs += (runMs - this.#meanRunMs) * RUN_SMOOTHING;
      permit.release();
      session.releaseSlot();
    };
    return { session, release };
  }

  #requestSlots(): void {
    const sessions = this.#parts.listSessions();
    const asked = sessions.reduce((sum, session) => sum + session.getRequestedSlots(), 0);
    let missing = this.#countStartable() - asked;
    while (missing > 0) {
      const session = sessions
        .filter((candidate) => candidate.getFreeSlots() > 0)
        .toSorted((a, b) => b.getFreeSlots() - a.getFreeSlots())[0];
      if (session === undefined) {
        return;
      }
      session.requestSlot();
      missing -= 1;
    }
  }

  /** Calls that only lack a slot. */
  #countStartable(): number {
    return this.#waiting
      .listTeams()
      .reduce(
        (sum, team) =>
          sum + Math.min(this.#waiting.getCount(team), this.#parts.permits.getIdle(team)),
        0,
      );
  }

  #getRetryAfter(): number {
    return Math.max(MIN_RETRY_AFTER_MS, this.#meanRunMs);
  }
}
