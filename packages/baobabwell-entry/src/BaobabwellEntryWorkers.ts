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

/** What the directory works with. */
export type WorkerDirectoryParts = {
  readonly clock: Clock;
  readonly view: ViewStore;
  readonly permits: PermitPool;
  readonly shares: SlotShares;
  readonly createAdmission: () => AdmissionControl;
  readonly factory: WorkerClientFactory;
  readonly holder: string;
  readonly recorder: CallRecorder;
  readonly isCurrent: () => boolean;
};

/** What this entry uses of one pool. */
export type PoolUse = {
  readonly pool: string;
  readonly waiting: number;
  readonly leasedSlots: number;
  readonly usedSlots: number;
  /** Workers that fail what they are given and get probes only. */
  readonly suspectWorkers: number;
};

const DEFAULT_WEIGHT = 1;

/** Keeps a session with each host of the view, and a scheduler for each pool. */
export class WorkerDirectory {
  readonly #parts: WorkerDirectoryParts;

  readonly #sessions = new Map<string, { readonly host: Host; readonly session: WorkerSession }>();

  readonly #schedulers = new Map<string, PoolScheduler>();

  readonly #serving = new Map<string, readonly WorkerSession[]>();

  #servingView: FleetView | null = null;

  constructor(parts: WorkerDirectoryParts) {
    this.#parts = parts;
  }

  /** Opens sessions with new hosts and closes those with hosts that are gone. */
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
    this.#serving.clear();
    this.#schedulers.forEach((scheduler) => scheduler.dispatchSlots());
  }

  /** Gets the scheduler of a pool, creating it on first use. */
  getScheduler(pool: string): PoolScheduler {
    const known = this.#schedulers.get(pool);
    if (known !== undefined) {
      return known;
    }
    const { clock, permits, shares } = this.#parts;
    const parts = {
      pool,
      clock,
      permits,
      shares,
      admission: this.#parts.createAdmission(),
      getWeight: (team: string) =>
        this.#parts.view.get().get(EntityKind.Team, team)?.share ?? DEFAULT_WEIGHT,
      listSessions: () => this.#listServing(pool),
    };
    const scheduler = new RecordedPoolScheduler(parts, this.#parts.recorder);
    this.#schedulers.set(pool, scheduler);
    return scheduler;
  }

  /** Lists what each team runs and waits for here, by pool. */
  listActivity(): readonly { readonly pool: string; readonly teams: readonly TeamActivity[] }[] {
    return [...this.#schedulers].map(([pool, scheduler]) => ({
      pool,
      teams: scheduler.listActivity(),
    }));
  }

  /** Number of slots of the hosts of a pool that take work. */
  getPoolSlots(pool: string): number {
    return this.#parts.view
      .get()
      .listHosts(pool)
      .filter(({ state }) => state === HostState.Serving)
      .reduce((sum, { slots }) => sum + slots, 0);
  }

  /** Lists what this entry uses of each pool. */
  listPoolUse(): readonly PoolUse[] {
    const view = this.#parts.view.get();
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

  /** Whether the tasks of a host all fail here, or `null` when nothing is known of it. */
  hasBadResults(host: string): boolean | null {
    return this.#sessions.get(host)?.session.isSuspect() ?? null;
  }

  /** Gives out slots of every pool, for example after permits came free. */
  dispatchTurns(): void {
    this.#schedulers.forEach((scheduler) => scheduler.dispatchSlots());
  }

  /** Refuses waiting calls and gives all leases up. */
  stop(): void {
    this.#schedulers.forEach((scheduler) => scheduler.stop());
    this.#sessions.forEach(({ session }) => session.stop());
    this.#sessions.clear();
    this.#serving.clear();
  }

  /** The sessions with the serving hosts of a pool, looked up once for each view. */
  #listServing(pool: string): readonly WorkerSession[] {
    const view = this.#parts.view.get();
    if (view !== this.#servingView) {
      this.#servingView = view;
      this.#serving.clear();
    }
    const known = this.#serving.get(pool);
    if (known !== undefined) {
      return known;
    }
    const sessions = view
      .listHosts(pool)
      .filter(({ state }) => state === HostState.Serving)
      .flatMap(({ id }) => this.#sessions.get(id)?.session ?? []);
    this.#serving.set(pool, sessions);
    return sessions;
  }

  /** The pool can spare a worker while enough others are trusted. */
  #canSpare({ id, pool }: Host): boolean {
    const minimum = this.#parts.view.get().get(EntityKind.Pool, pool)?.minimumServing ?? 0;
    const trusted = this.#listServing(pool).filter(
      (session) => session.host !== id && !session.isSuspect(),
    );
    return trusted.length >= minimum;
  }

  #getOthersFailureFraction({ id, pool }: Host): number {
    const others = this.#listServing(pool).filter((session) => session.host !== id);
    const sum = others.reduce((total, { health }) => total + health.getFailureFraction(), 0);
    return others.length === 0 ? 1 : sum / others.length;
  }

  #startSession(host: Host): WorkerSession {
    const { clock, factory, holder, recorder, isCurrent } = this.#parts;
    const session = new WorkerSession({
      host: host.id,
      holder,
      client: factory.create(host.address, this.#getTaskConnections()),
      clock,
      getMaxSlots: () => Math.min(host.slots, this.#getTaskConnections()),
      getConnections: () => this.#getTaskConnections(),
      comparison: {
        getOthersFailureFraction: () => this.#getOthersFailureFraction(host),
        canSpare: () => this.#canSpare(host),
      },
      isCurrent,
      onChange: () => this.dispatchTurns(),
      onEvent: (event) => recorder.recordWorker(event, host),
    });
    void session.run();
    return session;
  }

  #getTaskConnections(): number {
    const members = Math.max(1, this.#parts.view.get().countEntities(EntityKind.Member));
    return Math.max(1, Math.floor(MAX_WORKER_CONNECTIONS / members) - CONTROL_CONNECTIONS);
  }
}
