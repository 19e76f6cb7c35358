import type { TermContext } from './BaobabwellControllerContext';
import type { Host } from './BaobabwellControllerHost';
import type { PoolRoom } from './BaobabwellControllerOffers';
import type { MovableMachine, PoolLoad, PoolDemand } from '@baobabwell/fleet';
import type { CloudHost } from '@baobabwell/platform';

import {
  decideMoves,
  divideHeadroom,
  getBaseHosts,
  getRequiredHosts,
  getDesiredHosts,
  RecentPeaks,
  BurstPredictor,
} from '@baobabwell/fleet';
import { RunPhase } from '@baobabwell/jobs';
import { MIN_TAKEOVER_MS } from '@baobabwell/ownership';
import { CloudHostState } from '@baobabwell/platform';
import { Waker } from '@baobabwell/utils';

import {
  DUTIES_PAUSE_MS,
  KEEP_MS,
  LEAST_HOSTS,
  LEAVE_RESERVE_MS,
  LOAD_PAUSE_MS,
  REFUSED_DEMAND_MS,
  STANDBY_SHARE,
  NEEDED_MS,
  ORDER_LEASE_MS,
  TURN_HOSTS,
  TURN_SHARE,
  TURNS_ENDED_MS,
} from './BaobabwellControllerConstants';
import { getLastingCpu, listLasting, stopLasting } from './BaobabwellControllerLasting';
import { getPoolLoads } from './BaobabwellControllerLoad';
import { MachineBook } from './BaobabwellControllerMachines';
import { WaveKeeper } from './BaobabwellControllerWaves';

/** Time that an order takes to its machine, and a round to its orders, in ms. */
const ORDER_DELAY_MS = 200;

const CORE_MILLIS = 1_000;

type RefusedDemand = {
  readonly pool: string;
  readonly cpuMillis: number;
  readonly atMs: number;
};

/** Carries out moves of machines between pools, maintenance waves, and the emptying of hosts. */
export class FleetDuties {
  readonly #context: TermContext;

  readonly #machines: MachineBook;

  readonly #waves: WaveKeeper;

  readonly #wanted = new RecentPeaks(KEEP_MS);

  readonly #needed = new RecentPeaks(NEEDED_MS);

  readonly #rhythm = new BurstPredictor();

  /** Monotonic time at which draining hosts were first seen so, in ms. */
  readonly #drainSeenMs = new Map<string, number>();

  readonly #waker: Waker;

  /** Jobs refused lately: they ask for machines as much as those that wait. */
  #refused: readonly RefusedDemand[] = [];

  /** Monotonic time at which each pool last had its turn, in ms. */
  readonly #turnAtMs = new Map<string, number>();

  /** Monotonic time at which the load of each pool was last told, in ms. */
  readonly #loadToldMs = new Map<string, number>();

  readonly #startedAtMs: number;

  readonly #recordDeparture: (hostId: string, reason: string) => void;

  constructor(context: TermContext, recordDeparture: (hostId: string, reason: string) => void) {
    this.#context = context;
    this.#waker = new Waker(context.clock);
    this.#machines = new MachineBook(context);
    this.#waves = new WaveKeeper(context, this.#machines, recordDeparture);
    this.#recordDeparture = recordDeparture;
    this.#startedAtMs = context.clock.getNow();
  }

  /** Something changed that duties answer. */
  requestRound(): void {
    this.#waker.wake();
  }

  /** Records what a refused job would have used at once, in thousandths of a core. */
  recordRefusal(pool: string, cpuMillis: number): void {
    const atMs = this.#context.clock.getNow();
    this.#refused = [
      ...this.#refused.filter((refused) => atMs - refused.atMs < REFUSED_DEMAND_MS),
      { pool, cpuMillis, atMs },
    ];
  }

  /** Room of a pool for tasks that end: now, on its way, and what could be called in. */
  getRoom(pool: string): PoolRoom {
    const { hosts, clock } = this.#context;
    const nowMs = clock.getNow();
    let cpuMillis = 0;
    hosts.forEach((host) => {
      const isUsable = host.pool === pool && host.canTakeWork(nowMs);
      cpuMillis += isUsable ? host.getCapacity().cpuMillis - getLastingCpu(host) : 0;
    });
    const machines = this.#machines.list();
    const hostCpu = machines[0]?.capacity.cpuMillis ?? 0;
    const callable = machines.filter(
      (machine) =>
        this.#machines.isSpare(machine) &&
        machine.state === CloudHostState.Up &&
        !this.#machines.isPending(machine.machine),
    );
    return {
      cpuMillis,
      arrivingCpuMillis: this.#machines.countArriving(pool) * hostCpu,
      callableCpuMillis: callable.length * hostCpu,
      largest: machines.map(({ capacity }) => capacity),
    };
  }

  /** Looks after the fleet until the term ends. */
  async run(): Promise<void> {
    const { signal, ownership } = this.#context;
    await this.#waves.load();
    while (!signal.aborted) {
      await this.#waker.wait(DUTIES_PAUSE_MS, signal);
      if (!signal.aborted && ownership.canAct()) {
        this.#emptyLeaving();
        await this.#runRound();
      }
    }
  }

  /** Work on hosts that leave is moved in time. */
  #emptyLeaving(): void {
    const nowMs = this.#context.clock.getNow();
    this.#context.hosts.forEach((host, id) => {
      if (host.listed?.isDraining !== true) {
        this.#drainSeenMs.delete(id);
        return;
      }
      const seenAtMs = this.#drainSeenMs.get(id) ?? nowMs;
      this.#drainSeenMs.set(id, seenAtMs);
      stopLasting(this.#context, host, 'the host leaves');
      const leftMs = (host.listed.leavesInMs ?? 0) - (nowMs - seenAtMs);
      this.#stopLate(host, leftMs);
    });
  }

  /** Stops what would not end before its host leaves, so that it can go on elsewhere. */
  #stopLate(host: Host, leftMs: number): void {
    const nowMs = this.#context.clock.getNow();
    host.runs.forEach((run) => {
      const { spec } = run.task.step;
      const neededMs = spec.estimateMs - (nowMs - run.startSentAtMs);
      const isLate = neededMs > leftMs - LEAVE_RESERVE_MS;
      if (run.phase === RunPhase.Running && !spec.isLasting && spec.keepsCheckpoints && isLate) {
        this.#context.stopRun(run, 'the host leaves before the run can end');
      }
    });
  }

  /** Time for which a new owner orders no machine, in ms: the former one last did so before its takeover. */
  #getOrderPauseMs(): number {
    const { bounds } = this.#context;
    return bounds.machineOrderPauseMs - (MIN_TAKEOVER_MS - ORDER_LEASE_MS) + ORDER_DELAY_MS;
  }

  async #runRound(): Promise<void> {
    const { clock, term, cloud, ownership, getConfiguration } = this.#context;
    const isTooEarly =
      !term.isHandover && clock.getNow() - this.#startedAtMs < this.#getOrderPauseMs();
    const isTooLate = ownership.getLeaseAgeMs() > ORDER_LEASE_MS;
    if (cloud === null || isTooEarly || isTooLate || getConfiguration() === null) {
      return;
    }
    if (this.#machines.isKnown) {
      void this.#machines.refresh();
    } else {
      await this.#machines.refresh();
    }
    if (!this.#machines.isKnown || this.#context.signal.aborted) {
      return;
    }
    const waveCordons = await this.#waves.runRound();
    const moveCordons = this.#moveMachines(waveCordons);
    this.#applyCordons(new Map([...moveCordons, ...waveCordons]));
  }

  #applyCordons(cordons: ReadonlyMap<string, string>): void {
    const { hosts, logger, requestDispatch } = this.#context;
    const ordered = this.#machines.listOrderedHosts();
    hosts.forEach((known, id) => {
      const host = known;
      // A host whose move or upkeep was ordered takes no work until that has shown.
      const reason = cordons.get(id) ?? (ordered.has(id) ? 'its machine was ordered' : null);
      if (host.isCordoned !== (reason !== null)) {
        host.isCordoned = reason !== null;
        logger.recordInfo('host-cordon', { host: id, reason, runs: host.runs.size });
        requestDispatch();
      }
    });
  }

  #moveMachines(reserved: ReadonlyMap<string, string>): ReadonlyMap<string, string> {
    const needs = this.#listNeeds(reserved);
    const { moves, drains } = decideMoves(needs);
    const byName = new Map(this.#machines.list().map((machine) => [machine.machine, machine]));
    // Not awaited: an answer that does not come must not hold up the next round.
    moves.forEach(({ machine, to }) => {
      const listed = byName.get(machine);
      if (listed !== undefined) {
        void this.#moveMachine(listed, to);
      }
    });
    const cordons = new Map<string, string>();
    drains.forEach((name) => {
      const hostId = byName.get(name)?.hostId ?? null;
      if (hostId !== null) {
        cordons.set(hostId, 'another pool needs the machine');
      }
    });
    return cordons;
  }

  async #moveMachine(machine: CloudHost, pool: string): Promise<void> {
    const host = this.#machines.findHost(machine);
    if (host !== null && host.runs.size > 0) {
      return;
    }
    if (host !== null) {
      host.isCordoned = true;
    }
    const isDone = await this.#machines.move(machine, pool);
    if (isDone && host !== null) {
      this.#recordDeparture(host.life.id, 'moved to another pool');
    }
  }

  #listNeeds(reserved: ReadonlyMap<string, string>): readonly PoolDemand[] {
    const { clock, getConfiguration } = this.#context;
    const loads = getPoolLoads(this.#context);
    const nowMs = clock.getNow();
    const machines = this.#machines.list();
    const standby = this.#divideStandby(machines.length, nowMs);
    return (getConfiguration()?.pools ?? []).map(({ name, isSpare }) => {
      const present = machines.filter(
        (machine) =>
          machine.pool === name &&
          machine.state === CloudHostState.Up &&
          !this.#machines.isPending(machine.machine) &&
          (isSpare || this.#machines.findHost(machine) !== null),
      );
      const load = this.#addRefused(name, loads.get(name), nowMs);
      this.#recordLoad(name, load, present.length);
      const hostCpu = present[0]?.capacity.cpuMillis ?? machines[0]?.capacity.cpuMillis ?? 0;
      const size = { cpuMillis: hostCpu, minHosts: LEAST_HOSTS };
      const askedHosts = load === undefined ? LEAST_HOSTS : getDesiredHosts(load, size);
      const neededHosts = load === undefined ? LEAST_HOSTS : getRequiredHosts(load, size);
      const baseHosts = getBaseHosts(load, size);
      const extraHosts = askedHosts - baseHosts;
      if (extraHosts >= this.#getTurnHosts()) {
        this.#turnAtMs.set(name, nowMs);
      }
      const sign = { pool: name, extraHosts, arrivingJobs: load?.arrivingJobs ?? 0 };
      const expected = this.#rhythm.record(sign, this.#getTurnHosts(), nowMs);
      const neededLately = this.#needed.record(name, neededHosts, nowMs);
      const wantedHosts = Math.max(
        askedHosts,
        LEAST_HOSTS + (standby.get(name) ?? 0),
        baseHosts + Math.ceil(expected),
      );
      const arrivingCount = this.#machines.countArriving(name);
      return {
        name,
        isSpare,
        machines: present.map((machine) => this.#createMovable(machine, reserved)),
        arrivingCount,
        requiredHosts: isSpare ? 0 : neededLately,
        desiredHosts: isSpare ? 0 : wantedHosts,
        retainedHosts: isSpare ? 0 : this.#recordWanted(name, wantedHosts, nowMs),
      };
    });
  }

  #addRefused(pool: string, load: PoolLoad | undefined, nowMs: number): PoolLoad | undefined {
    const refusedCpu = this.#refused
      .filter((refused) => refused.pool === pool && nowMs - refused.atMs < REFUSED_DEMAND_MS)
      .reduce((sum, { cpuMillis }) => sum + cpuMillis, 0);
    return load && { ...load, waitingCpuMillis: load.waitingCpuMillis + refusedCpu };
  }

  /** Hosts beyond its base that a pool needs while it has its turn. */
  #getTurnHosts(): number {
    return Math.max(TURN_HOSTS, Math.ceil(TURN_SHARE * this.#machines.list().length));
  }

  #divideStandby(machineCount: number, nowMs: number): ReadonlyMap<string, number> {
    const pools = this.#context.getConfiguration()?.pools ?? [];
    const lastTurnAtMs = Math.max(...this.#turnAtMs.values());
    const haveTurnsEnded = this.#turnAtMs.size > 0 && nowMs - lastTurnAtMs > TURNS_ENDED_MS;
    return divideHeadroom(
      pools
        .filter(({ isSpare }) => !isSpare)
        .map(({ name }) => ({ name, idleMs: nowMs - (this.#turnAtMs.get(name) ?? -Infinity) })),
      haveTurnsEnded ? 0 : Math.floor(machineCount * STANDBY_SHARE),
    );
  }

  /** Tells at most once a second what a pool has and is asked for. */
  #recordLoad(pool: string, load: PoolLoad | undefined, upCount: number): void {
    const nowMs = this.#context.clock.getNow();
    if (load === undefined || nowMs - (this.#loadToldMs.get(pool) ?? -Infinity) < LOAD_PAUSE_MS) {
      return;
    }
    this.#loadToldMs.set(pool, nowMs);
    const arrivingCount = this.#machines.countArriving(pool);
    const { cpuMillis: roomCpu } = this.getRoom(pool);
    const { poolHosts, poolCores } = this.#context.metrics;
    poolHosts.set({ pool, state: 'up' }, upCount);
    poolHosts.set({ pool, state: 'arriving' }, arrivingCount);
    poolHosts.set({ pool, state: 'wanted' }, this.#wanted.findLast(pool) ?? 0);
    poolCores.set({ pool, use: 'room' }, roomCpu / CORE_MILLIS);
    poolCores.set({ pool, use: 'running' }, load.runningCpuMillis / CORE_MILLIS);
    poolCores.set({ pool, use: 'waiting' }, load.waitingCpuMillis / CORE_MILLIS);
    this.#context.logger.recordInfo('pool-load', {
      pool,
      up: upCount,
      arriving: arrivingCount,
      roomCpu,
      lastingCpu: load.longRunningCpuMillis,
      runningCpu: load.runningCpuMillis,
      waitingCpu: load.waitingCpuMillis,
      arrivingWork: Math.round(load.arrivingCpuMillis),
    });
  }

  /** Records what a pool wants, and gives the most that it wanted lately. */
  #recordWanted(pool: string, hosts: number, nowMs: number): number {
    const before = this.#wanted.findLast(pool);
    if (before !== hosts) {
      this.#context.logger.recordInfo('pool-wants', { pool, hosts, before });
    }
    return this.#wanted.record(pool, hosts, nowMs);
  }

  #createMovable(machine: CloudHost, reserved: ReadonlyMap<string, string>): MovableMachine {
    const host = this.#machines.findHost(machine);
    const isReserved = machine.hostId !== null && reserved.has(machine.hostId);
    const isFree = host === null || (host.runs.size === 0 && host.listed?.isDraining !== true);
    return {
      machine: machine.machine,
      isIdle: isFree && !isReserved,
      canBeDrained:
        host !== null && !isReserved && host.isReachable && listLasting(host).length === 0,
      usedCpuMillis: host?.getUsed().cpuMillis ?? 0,
    };
  }
}
