import type { AdmissionControl, QueueOutlook } from './BaobabwellSchedulingAdmission';
import type { Permit, PermitPool } from './BaobabwellSchedulingPermits';
import type { SlotShares, TeamActivity } from './BaobabwellSchedulingShares';
import type { Turn, TurnRefusal, TurnRequest } from './BaobabwellSchedulingTurns';
import type { CancelTimer, Clock, Result } from '@baobabwell/utils';
import type { WorkerSession } from '@baobabwell/workers';

import { createError, createOk } from '@baobabwell/utils';

import { FairQueue } from './BaobabwellSchedulingFairQueue';

const MAX_WAITING = 2_000;
const MIN_RETRY_AFTER_MS = 1_000;
/** Age of a grant from which a worker may have free slots again. */
const STALE_GRANT_MS = 40;
/** Largest part of a call's time that is kept for the work itself. */
const MAX_RUN_PART = 0.5;
/** Slots that urgent work may use beyond its team's part of a full pool. */
const URGENT_OVERDRAFT = 1;
const INITIAL_RUN_MS = 50;
const RUN_SMOOTHING = 0.1;

type Waiting = {
  readonly request: TurnRequest;
  readonly resolve: (result: Result<Turn, TurnRefusal>) => void;
  cancelTimer: CancelTimer | null;
};

/** What the scheduler of a pool works with. */
export type PoolSchedulerParts = {
  readonly pool: string;
  readonly clock: Clock;
  readonly permits: PermitPool;
  readonly shares: SlotShares;
  readonly admission: AdmissionControl;
  readonly getWeight: (team: string) => number;
  /** Sessions with the hosts of the pool that take new work. */
  readonly listSessions: () => readonly WorkerSession[];
};

/** Finds a worker whose last word on its free slots is old. */
function findStale(sessions: readonly WorkerSession[]): WorkerSession | undefined {
  return sessions
    .filter(
      (session) => session.getRequestedSlots() === 0 && session.getGrantAge() > STALE_GRANT_MS,
    )
    .toSorted((a, b) => b.getGrantAge() - a.getGrantAge())[0];
}

/** Gives the slots of one pool to waiting calls, by fair share and within permits. */
export class PoolScheduler {
  readonly #parts: PoolSchedulerParts;

  readonly #waiting: FairQueue<Waiting>;

  /** Slots in use by team. */
  readonly #running = new Map<string, number>();

  /** Mean time of each team's work, learnt from what ended. */
  readonly #teamRunMs = new Map<string, number>();

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

  /** Lists what each team runs and waits for here. */
  listActivity(): readonly TeamActivity[] {
    const teams = new Set([...this.#running.keys(), ...this.#waiting.listTeams()]);
    return [...teams].map((team) => ({
      team,
      running: this.#getRunning(team),
      waiting: this.#waiting.getCount(team),
    }));
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
    const expectedMs = this.#parts.admission.getRefusal(this.#getOutlook(request));
    if (expectedMs !== null) {
      const retryAfterMs = Math.max(expectedMs, this.#getRetryAfter());
      return createError({ kind: 'queue-full', retryAfterMs });
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
    this.#returnSlots();
  }

  #getOutlook({ team, priority, deadlineAt }: TurnRequest): QueueOutlook {
    const { shares, pool, clock } = this.#parts;
    return {
      team,
      ahead: this.#waiting.getCountBefore(team, priority),
      slots: shares.getTarget(pool, team),
      meanRunMs: this.#getRunMs(team),
      remainingMs: deadlineAt - clock.getNow(),
    };
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
    this.#waiting.add(request.team, waiting, request.priority);
    this.#parts.permits.addWaiting(request.team, 1);
    const waitMs = request.deadlineAt - clock.getNow();
    // Work that cannot end in time would only take a slot from work that can.
    const runMs = Math.min(this.#getRunMs(request.team), waitMs * MAX_RUN_PART);
    waiting.cancelTimer = clock.startTimer(waitMs - runMs, () => {
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
    return this.#waiting
      .listTeams()
      .some((team) => this.#getRoom(team) > 0 && this.#dispatchTeam(team, sessions));
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
    this.#parts.admission.recordStart(team);
    this.#running.set(team, this.#getRunning(team) + 1);
    this.#waiting.recordUse(team, this.#meanRunMs);
    const release = (): void => {
      const runMs = clock.getNow() - startedAt;
      this.#waiting.recordUse(team, runMs - this.#meanRunMs);
      this.#meanRunMs += (runMs - this.#meanRunMs) * RUN_SMOOTHING;
      const teamRunMs = this.#teamRunMs.get(team) ?? runMs;
      this.#teamRunMs.set(team, teamRunMs + (runMs - teamRunMs) * RUN_SMOOTHING);
      this.#recordEnd(team);
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
      const session =
        sessions
          .filter((candidate) => candidate.getFreeSlots() > 0)
          .toSorted((a, b) => b.getFreeSlots() - a.getFreeSlots())[0] ?? findStale(sessions);
      if (session === undefined) {
        return;
      }
      session.requestSlot();
      missing -= 1;
    }
  }

  /** In a full pool a slot that this entry may not use is one that another entry waits for. */
  #returnSlots(): void {
    const { shares, pool, listSessions } = this.#parts;
    if (shares.isContended(pool) && this.#countStartable() === 0) {
      listSessions().forEach((session) => session.returnIdleSlots());
    }
  }

  /** Calls that only lack a slot. */
  #countStartable(): number {
    return this.#waiting
      .listTeams()
      .reduce(
        (sum, team) =>
          sum +
          Math.min(
            this.#waiting.getCount(team),
            this.#parts.permits.getIdle(team),
            this.#getRoom(team),
          ),
        0,
      );
  }

  #getRunMs(team: string): number {
    return this.#teamRunMs.get(team) ?? this.#meanRunMs;
  }

  /** Slots that a team may use on top of those in use. */
  #getRoom(team: string): number {
    const { shares, pool } = this.#parts;
    const overdraft = this.#waiting.hasUrgent(team) ? URGENT_OVERDRAFT : 0;
    return Math.max(0, shares.getTarget(pool, team) + overdraft - this.#getRunning(team));
  }

  #getRunning(team: string): number {
    return this.#running.get(team) ?? 0;
  }

  #recordEnd(team: string): void {
    const running = this.#getRunning(team) - 1;
    if (running > 0) {
      this.#running.set(team, running);
    } else {
      this.#running.delete(team);
    }
  }

  #getRetryAfter(): number {
    return Math.max(MIN_RETRY_AFTER_MS, this.#meanRunMs);
  }
}
