import type { AdmissionControl, QueueEstimate } from './BaobabwellSchedulingAdmission';
import type { Permit, PermitPool } from './BaobabwellSchedulingPermits';
import type { SlotShares, TeamActivity } from './BaobabwellSchedulingShares';
import type { SlotGrant, SlotRefusal, SlotRequest } from './BaobabwellSchedulingSlots';
import type { CancelTimer, Clock, Result } from '@baobabwell/utils';
import type { WorkerSession } from '@baobabwell/workers';

import { createError, createOk } from '@baobabwell/utils';

import { FairQueue } from './BaobabwellSchedulingFairQueue';

const MAX_WAITING_CALLS = 2_000;
const MIN_RETRY_AFTER_MS = 1_000;
/** Time since the last lease request after which a worker may have free slots again. */
const STALE_LEASE_REQUEST_MS = 40;
/** Largest fraction of a call's remaining time that is reserved for the work itself. */
const MAX_RUN_FRACTION = 0.5;
/** Slots that a team with urgent work may use beyond its target in a contended pool. */
const MAX_URGENT_OVERDRAFT_SLOTS = 1;
const INITIAL_MEAN_RUN_MS = 50;
const RUN_TIME_SMOOTHING = 0.1;

type WaitingCall = {
  readonly request: SlotRequest;
  readonly resolve: (result: Result<SlotGrant, SlotRefusal>) => void;
  cancelTimer: CancelTimer | null;
};

/** Dependencies of {@link PoolScheduler}. */
export type PoolSchedulerDependencies = {
  readonly pool: string;
  readonly clock: Clock;
  readonly permits: PermitPool;
  readonly shares: SlotShares;
  readonly admission: AdmissionControl;
  readonly getWeight: (team: string) => number;
  /** Lists the sessions with hosts of the pool that accept new work. */
  readonly listSessions: () => readonly WorkerSession[];
};

/** Finds the worker whose report of free slots is the oldest, if it is stale. */
function findStaleSession(sessions: readonly WorkerSession[]): WorkerSession | undefined {
  return sessions
    .filter(
      (session) =>
        session.getRequestedSlots() === 0 && session.getLeaseRequestAge() > STALE_LEASE_REQUEST_MS,
    )
    .toSorted((a, b) => b.getLeaseRequestAge() - a.getLeaseRequestAge())[0];
}

/** Assigns the slots of one pool to waiting calls by fair share, within the teams' permits. */
export class PoolScheduler {
  readonly #dependencies: PoolSchedulerDependencies;

  readonly #waiting: FairQueue<WaitingCall>;

  /** Slots in use, by team. */
  readonly #running = new Map<string, number>();

  /** Moving average of the run time of each team's work. */
  readonly #teamRunMs = new Map<string, number>();

  #meanRunMs = INITIAL_MEAN_RUN_MS;

  #isStopping = false;

  constructor(dependencies: PoolSchedulerDependencies) {
    this.#dependencies = dependencies;
    this.#waiting = new FairQueue(dependencies.getWeight);
  }

  /** Returns the number of calls that wait for a slot. */
  getWaitingCount(): number {
    return this.#waiting.size;
  }

  /** Lists the running and waiting calls of each team at this entry. */
  listActivity(): readonly TeamActivity[] {
    const teams = new Set([...this.#running.keys(), ...this.#waiting.listTeams()]);
    return [...teams].map((team) => ({
      team,
      running: this.#getRunning(team),
      waiting: this.#waiting.getCount(team),
    }));
  }

  /** Waits for a slot; aborting the signal ends the wait. */
  async acquire(
    request: SlotRequest,
    signal: AbortSignal,
  ): Promise<Result<SlotGrant, SlotRefusal>> {
    if (this.#isStopping) {
      return createError({ kind: 'stopping' });
    }
    if (this.#waiting.size >= MAX_WAITING_CALLS) {
      return createError({ kind: 'queue-full', retryAfterMs: this.#getRetryAfterMs() });
    }
    if (this.#hasNoHost(request)) {
      return createError({ kind: 'no-host' });
    }
    const expectedMs = this.#dependencies.admission.findExcessiveWaitMs(
      this.#getQueueEstimate(request),
    );
    if (expectedMs !== null) {
      const retryAfterMs = Math.max(expectedMs, this.#getRetryAfterMs());
      return createError({ kind: 'queue-full', retryAfterMs });
    }
    return new Promise((resolve) => {
      this.#add(request, signal, resolve);
      this.grantSlots();
    });
  }

  /**
   * Grants all slots that can be granted now, then requests missing slots from workers and releases
   * idle ones that this entry may not use.
   */
  grantSlots(): void {
    while (this.#waiting.size > 0 && this.#dispatchOne()) {
      // Each iteration grants one slot.
    }
    this.#requestSlots();
    this.#returnSlots();
  }

  #getQueueEstimate({ team, priority, deadlineAt }: SlotRequest): QueueEstimate {
    const { shares, pool, clock } = this.#dependencies;
    return {
      team,
      callsAhead: this.#waiting.getCountBefore(team, priority),
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

  /** Returns whether every host of the pool is excluded, so that waiting would be useless. */
  #hasNoHost({ excludedHosts }: SlotRequest): boolean {
    return (
      excludedHosts.size > 0 &&
      this.#dependencies.listSessions().every(({ host }) => excludedHosts.has(host))
    );
  }

  #add(
    request: SlotRequest,
    signal: AbortSignal,
    resolve: (result: Result<SlotGrant, SlotRefusal>) => void,
  ): void {
    const { clock } = this.#dependencies;
    const waiting: WaitingCall = {
      request,
      resolve: (result) => {
        signal.removeEventListener('abort', onAbort);
        resolve(result);
      },
      cancelTimer: null,
    };
    const onAbort = (): void => this.#refuse(waiting, { kind: 'cancelled' });
    this.#waiting.add(request.team, waiting, request.priority);
    this.#dependencies.permits.addWaiting(request.team, 1);
    const waitMs = request.deadlineAt - clock.getNow();
    // Work that can't finish in time would only take a slot from work that can.
    const runMs = Math.min(this.#getRunMs(request.team), waitMs * MAX_RUN_FRACTION);
    waiting.cancelTimer = clock.startTimer(waitMs - runMs, () => {
      this.#refuse(waiting, { kind: 'deadline', retryAfterMs: this.#getRetryAfterMs() });
    });
    if (signal.aborted) {
      onAbort();
    } else {
      signal.addEventListener('abort', onAbort, { once: true });
    }
  }

  #refuse(waiting: WaitingCall, refusal: SlotRefusal): void {
    if (this.#remove(waiting)) {
      waiting.resolve(createError(refusal));
    }
  }

  #remove(waiting: WaitingCall): boolean {
    waiting.cancelTimer?.();
    const wasRemoved = this.#waiting.remove(waiting.request.team, waiting);
    if (wasRemoved) {
      this.#dependencies.permits.addWaiting(waiting.request.team, -1);
    }
    return wasRemoved;
  }

  #dispatchOne(): boolean {
    const sessions = this.#dependencies
      .listSessions()
      .filter((session) => session.getUsableSlots() > 0);
    if (sessions.length === 0) {
      return false;
    }
    return this.#waiting
      .listTeams()
      .some((team) => this.#getAvailableSlots(team) > 0 && this.#dispatchTeam(team, sessions));
  }

  /**
   * Chooses the host before it takes a permit, since releasing an unused permit notifies all pools.
   */
  #dispatchTeam(team: string, sessions: readonly WorkerSession[]): boolean {
    for (const waiting of this.#waiting.listItems(team)) {
      const session = sessions
        .filter(({ host }) => !waiting.request.excludedHosts.has(host))
        .toSorted((a, b) => a.getSlotsInUse() - b.getSlotsInUse())[0];
      if (session !== undefined) {
        const permit = this.#dependencies.permits.acquire(team);
        if (permit === null) {
          return false;
        }
        this.#remove(waiting);
        waiting.resolve(createOk(this.#createGrant(team, permit, session)));
        return true;
      }
    }
    return false;
  }

  #createGrant(team: string, permit: Permit, session: WorkerSession): SlotGrant {
    const { clock } = this.#dependencies;
    const startedAt = clock.getNow();
    session.acquireSlot();
    this.#dependencies.admission.recordStart(team);
    this.#running.set(team, this.#getRunning(team) + 1);
    this.#waiting.recordUsage(team, this.#meanRunMs);
    const release = (): void => {
      const runMs = clock.getNow() - startedAt;
      this.#waiting.recordUsage(team, runMs - this.#meanRunMs);
      this.#meanRunMs += (runMs - this.#meanRunMs) * RUN_TIME_SMOOTHING;
      const teamRunMs = this.#teamRunMs.get(team) ?? runMs;
      this.#teamRunMs.set(team, teamRunMs + (runMs - teamRunMs) * RUN_TIME_SMOOTHING);
      this.#recordRelease(team);
      permit.release();
      session.releaseSlot();
    };
    return { session, release };
  }

  #requestSlots(): void {
    const sessions = this.#dependencies.listSessions();
    const requestedSlots = sessions.reduce((sum, session) => sum + session.getRequestedSlots(), 0);
    let missingSlots = this.#countStartable() - requestedSlots;
    while (missingSlots > 0) {
      const session =
        sessions
          .filter((candidate) => candidate.getFreeSlots() > 0)
          .toSorted((a, b) => b.getFreeSlots() - a.getFreeSlots())[0] ?? findStaleSession(sessions);
      if (session === undefined) {
        return;
      }
      session.requestSlot();
      missingSlots -= 1;
    }
  }

  /**
   * Releases idle slots of a contended pool that this entry may not use, since other entries wait
   * for them.
   */
  #returnSlots(): void {
    const { shares, pool, listSessions } = this.#dependencies;
    if (shares.isContended(pool) && this.#countStartable() === 0) {
      listSessions().forEach((session) => session.returnIdleSlots());
    }
  }

  /** Counts the waiting calls that lack nothing but a slot. */
  #countStartable(): number {
    return this.#waiting
      .listTeams()
      .reduce(
        (sum, team) =>
          sum +
          Math.min(
            this.#waiting.getCount(team),
            this.#dependencies.permits.getAvailable(team),
            this.#getAvailableSlots(team),
          ),
        0,
      );
  }

  #getRunMs(team: string): number {
    return this.#teamRunMs.get(team) ?? this.#meanRunMs;
  }

  /** Returns how many slots a team may use in addition to those in use. */
  #getAvailableSlots(team: string): number {
    const { shares, pool } = this.#dependencies;
    const overdraft = this.#waiting.hasUrgent(team) ? MAX_URGENT_OVERDRAFT_SLOTS : 0;
    return Math.max(0, shares.getTarget(pool, team) + overdraft - this.#getRunning(team));
  }

  #getRunning(team: string): number {
    return this.#running.get(team) ?? 0;
  }

  #recordRelease(team: string): void {
    const running = this.#getRunning(team) - 1;
    if (running > 0) {
      this.#running.set(team, running);
    } else {
      this.#running.delete(team);
    }
  }

  #getRetryAfterMs(): number {
    return Math.max(MIN_RETRY_AFTER_MS, this.#meanRunMs);
  }
}
