import type { CallRecorder } from './BaobabwellEntryCallRecorder';
import type { FleetView, Host } from '@baobabwell/model';
import type {
  AdmissionControl,
  PermitPool,
  PoolScheduler,
  SlotShares,
  TeamActivity,
} from '@baobabwell/scheduling';
import type { Clock } from '@baobabwell/utils';
import type { ViewStore } from '@baobabwell/view';
import type { WorkerClientFactory } from '@baobabwell/workers';

import { EntityKind, HostState } from '@baobabwell/model';
import { CONTROL_CONNECTIONS, MAX_WORKER_CONNECTIONS, WorkerSession } from '@baobabwell/workers';

import { RecordedPoolScheduler } from './BaobabwellEntryRecorded';

/** Dependencies of {@link WorkerDirectory}. */
export type WorkerDirectoryDependencies = {
  readonly clock: Clock;
  readonly view: ViewStore;
  readonly permits: PermitPool;
  readonly shares: SlotShares;
  readonly createAdmission: () => AdmissionControl;
  readonly clientFactory: WorkerClientFactory;
  readonly holder: string;
  readonly recorder: CallRecorder;
  readonly isCurrent: () => boolean;
};

/** Slots and calls of this entry in one pool. */
export type PoolUse = {
  readonly pool: string;
  readonly waiting: number;
  readonly leasedSlots: number;
  readonly usedSlots: number;
  /** Number of workers whose tasks keep failing and that receive probe tasks only. */
  readonly suspectWorkers: number;
};

const DEFAULT_WEIGHT = 1;

/** Maintains a session with each host of the view and a scheduler for each pool. */
export class WorkerDirectory {
  readonly #dependencies: WorkerDirectoryDependencies;

  readonly #sessions = new Map<string, { readonly host: Host; readonly session: WorkerSession }>();

  readonly #schedulers = new Map<string, PoolScheduler>();

  readonly #servingSessions = new Map<string, readonly WorkerSession[]>();

  #servingView: FleetView | null = null;

  constructor(dependencies: WorkerDirectoryDependencies) {
    this.#dependencies = dependencies;
  }

  /**
   * Opens sessions with new hosts and stops the sessions of hosts that were removed or changed
   * address.
   */
  update(view: FleetView): void {
    const hosts = new Map(view.list(EntityKind.Host).map((host) => [host.id, host]));
    this.#sessions.forEach(({ host, session }, id) => {
      if (hosts.get(id)?.address !== host.address) {
        session.stop();
        this.#sessions.delete(id);
      }
    });
    hosts.forEach((host, id) => {
      const session = this.#sessions.get(id)?.session ?? this.#startSession(host);
      this.#sessions.set(id, { host, session });
    });
    this.#servingSessions.clear();
    this.#schedulers.forEach((scheduler) => scheduler.grantSlots());
  }

  /** Gets the scheduler of a pool, creating it on first use. */
  getScheduler(pool: string): PoolScheduler {
    const existing = this.#schedulers.get(pool);
    if (existing !== undefined) {
      return existing;
    }
    const { clock, permits, shares } = this.#dependencies;
    const schedulerDependencies = {
      pool,
      clock,
      permits,
      shares,
      admission: this.#dependencies.createAdmission(),
      getWeight: (team: string) =>
        this.#dependencies.view.get().get(EntityKind.Team, team)?.share ?? DEFAULT_WEIGHT,
      listSessions: () => this.#listServingSessions(pool),
    };
    const scheduler = new RecordedPoolScheduler(schedulerDependencies, this.#dependencies.recorder);
    this.#schedulers.set(pool, scheduler);
    return scheduler;
  }

  /** Lists the running and waiting calls of each team at this entry, by pool. */
  listActivity(): readonly { readonly pool: string; readonly teams: readonly TeamActivity[] }[] {
    return [...this.#schedulers].map(([pool, scheduler]) => ({
      pool,
      teams: scheduler.listActivity(),
    }));
  }

  /** Returns the total number of slots of the serving hosts of a pool. */
  getPoolSlots(pool: string): number {
    return this.#dependencies.view
      .get()
      .listHosts(pool)
      .filter(({ state }) => state === HostState.Serving)
      .reduce((sum, { slots }) => sum + slots, 0);
  }

  /** Lists the slots and calls of this entry in each pool. */
  listPoolUse(): readonly PoolUse[] {
    const view = this.#dependencies.view.get();
    return view.list(EntityKind.Pool).map(({ id }) => {
      const sessions = view.listHosts(id).flatMap((host) => this.#sessions.get(host.id) ?? []);
      const used = sessions.map(({ session }) => session.getSlotsInUse());
      const usable = sessions.map(({ session }) => session.getUsableSlots());
      const usedSlots = used.reduce((sum, slots) => sum + slots, 0);
      const leasedSlots = usable.reduce((sum, slots) => sum + slots, usedSlots);
      const waiting = this.#schedulers.get(id)?.getWaitingCount() ?? 0;
      const suspectWorkers = sessions.filter(({ session }) => session.isSuspect()).length;
      return { pool: id, waiting, leasedSlots, usedSlots, suspectWorkers };
    });
  }

  /**
   * Returns whether the tasks of this entry keep failing on a host, or `null` when there is no
   * session with it.
   */
  hasFailingTasks(host: string): boolean | null {
    return this.#sessions.get(host)?.session.isSuspect() ?? null;
  }

  /**
   * Grants free slots of all pools to waiting calls, for example after permits became available.
   */
  grantSlots(): void {
    this.#schedulers.forEach((scheduler) => scheduler.grantSlots());
  }

  /** Refuses waiting calls and stops all sessions, which ends the renewal of their leases. */
  stop(): void {
    this.#schedulers.forEach((scheduler) => scheduler.stop());
    this.#sessions.forEach(({ session }) => session.stop());
    this.#sessions.clear();
    this.#servingSessions.clear();
  }

  /** Returns the sessions with the serving hosts of a pool, cached until the view changes. */
  #listServingSessions(pool: string): readonly WorkerSession[] {
    const view = this.#dependencies.view.get();
    if (view !== this.#servingView) {
      this.#servingView = view;
      this.#servingSessions.clear();
    }
    const cached = this.#servingSessions.get(pool);
    if (cached !== undefined) {
      return cached;
    }
    const sessions = view
      .listHosts(pool)
      .filter(({ state }) => state === HostState.Serving)
      .flatMap(({ id }) => this.#sessions.get(id)?.session ?? []);
    this.#servingSessions.set(pool, sessions);
    return sessions;
  }

  /** Returns whether the pool has enough other trusted workers to stop using this one. */
  #canSpare({ id, pool }: Host): boolean {
    const minimum = this.#dependencies.view.get().get(EntityKind.Pool, pool)?.minimumServing ?? 0;
    const trusted = this.#listServingSessions(pool).filter(
      (session) => session.host !== id && !session.isSuspect(),
    );
    return trusted.length >= minimum;
  }

  #getFailureFractionOfOthers({ id, pool }: Host): number {
    const others = this.#listServingSessions(pool).filter((session) => session.host !== id);
    const sum = others.reduce((total, { health }) => total + health.getFailureFraction(), 0);
    return others.length === 0 ? 1 : sum / others.length;
  }

  #startSession(host: Host): WorkerSession {
    const { clock, clientFactory, holder, recorder, isCurrent } = this.#dependencies;
    const session = new WorkerSession({
      host: host.id,
      holder,
      client: clientFactory.create(host.address, this.#getTaskConnections()),
      clock,
      getMaxSlots: () => Math.min(host.slots, this.#getTaskConnections()),
      getConnections: () => this.#getTaskConnections(),
      comparison: {
        getOthersFailureFraction: () => this.#getFailureFractionOfOthers(host),
        canSpare: () => this.#canSpare(host),
      },
      isCurrent,
      onChange: () => this.grantSlots(),
      onEvent: (event) => recorder.recordWorker(event, host),
    });
    void session.run();
    return session;
  }

  #getTaskConnections(): number {
    const members = Math.max(1, this.#dependencies.view.get().countEntities(EntityKind.Member));
    return Math.max(1, Math.floor(MAX_WORKER_CONNECTIONS / members) - CONTROL_CONNECTIONS);
  }
}
