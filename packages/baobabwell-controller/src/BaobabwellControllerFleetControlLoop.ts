import type { TermContext } from './BaobabwellControllerContext';
import type { Host } from './BaobabwellControllerHost';
import type { PoolCapacity } from './BaobabwellControllerOffers';
import type { MovableMachine, PoolDemand, PoolLoad } from '@baobabwell/fleet';
import type { CloudHost } from '@baobabwell/platform';

import {
  decideMoves,
  getBaseHosts,
  getDesiredHosts,
  getRequiredHosts,
  RecentPeaks,
} from '@baobabwell/fleet';
import { RunPhase } from '@baobabwell/jobs';
import { CloudHostState } from '@baobabwell/platform';
import { Activity } from '@baobabwell/processor-time';
import { WakeSignal } from '@baobabwell/utils';

import {
  BURST_SHARE,
  CONTROL_LOOP_INTERVAL_MS,
  DEPARTURE_RESERVE_MS,
  DESIRED_HOSTS_WINDOW_MS,
  LOAD_LOG_INTERVAL_MS,
  MAX_ORDER_LEASE_AGE_MS,
  MIN_BURST_HOSTS,
  MIN_HOSTS,
  REFUSED_DEMAND_WINDOW_MS,
  REQUIRED_HOSTS_WINDOW_MS,
  UNREPORTED_SHARE,
} from './BaobabwellControllerConstants';
import { EvacuationControlLoop } from './BaobabwellControllerEvacuationControlLoop';
import { listLongRunning, stopLongRunning } from './BaobabwellControllerLongRunning';
import { MachineInventory } from './BaobabwellControllerMachineInventory';
import { getPoolLoads } from './BaobabwellControllerPoolLoad';
import { getRunRemainingMs } from './BaobabwellControllerRunDurations';
import { Turns } from './BaobabwellControllerTurns';
import { WaveControlLoop } from './BaobabwellControllerWaveControlLoop';

const CORE_MILLIS = 1_000;

const NO_CAPACITY = { cpuMillis: 0, memoryMb: 0 };

type RefusedDemand = {
  readonly pool: string;
  readonly cpuMillis: number;
  readonly atMs: number;
};

/** Moves machines between pools, runs maintenance waves and drains hosts that leave. */
export class FleetControlLoop {
  readonly #context: TermContext;

  readonly #machines: MachineInventory;

  readonly #waves: WaveControlLoop;

  readonly #evacuations: EvacuationControlLoop;

  readonly #desiredPeaks = new RecentPeaks(DESIRED_HOSTS_WINDOW_MS);

  readonly #requiredPeaks = new RecentPeaks(REQUIRED_HOSTS_WINDOW_MS);

  readonly #turns: Turns;

  /** Monotonic time at which each draining host was first observed as draining, in ms. */
  readonly #drainSeenAtMs = new Map<string, number>();

  readonly #wakeSignal: WakeSignal;

  /** Demand of recently refused jobs, which counts as much as that of waiting jobs. */
  #refusedDemands: readonly RefusedDemand[] = [];

  /** Monotonic time at which the load of each pool was last logged, in ms. */
  readonly #loadLoggedAtMs = new Map<string, number>();

  readonly #recordDeparture: (hostId: string, reason: string) => void;

  readonly #endIncarnation: (hostId: string, reason: string) => void;

  constructor(
    context: TermContext,
    recordDeparture: (hostId: string, reason: string) => void,
    endIncarnation: (hostId: string, reason: string) => void,
  ) {
    this.#context = context;
    this.#wakeSignal = new WakeSignal(context.clock);
    this.#machines = new MachineInventory(context);
    this.#waves = new WaveControlLoop(context, this.#machines, recordDeparture);
    this.#evacuations = new EvacuationControlLoop(context, this.#machines);
    this.#recordDeparture = recordDeparture;
    this.#endIncarnation = endIncarnation;
    this.#turns = new Turns(context);
  }

  /** Reads what orders depend on, beside the load of the term. */
  load(): void {
    void this.#machines.intents.load();
    void this.#machines.refresh();
  }

  /** Requests a round without waiting for the interval to pass. */
  requestRound(): void {
    this.#wakeSignal.notify();
  }

  /** Records the CPU that a refused job would have used at once, in thousandths of a core. */
  recordRefusal(pool: string, cpuMillis: number): void {
    const atMs = this.#context.clock.getNow();
    this.#refusedDemands = [
      ...this.#refusedDemands.filter((refused) => atMs - refused.atMs < REFUSED_DEMAND_WINDOW_MS),
      { pool, cpuMillis, atMs },
    ];
  }

  /**
   * Returns the capacity of a pool for tasks that are not long running: available now, arriving, and
   * allocatable from spare pools.
   */
  getPoolCapacity(pool: string): PoolCapacity {
    const { hosts, clock } = this.#context;
    const nowMs = clock.getNow();
    let cpuMillis = 0;
    let unreportedCpuMillis = 0;
    hosts.forEach((host) => {
      if (host.pool === pool) {
        cpuMillis += host.canTakeWork(nowMs) ? host.getShortTaskCpuMillis() : 0;
        unreportedCpuMillis += host.isAwaited ? host.getShortTaskCpuMillis() : 0;
      }
    });
    const machines = this.#machines.list();
    const hostCpu = machines[0]?.capacity.cpuMillis ?? 0;
    const allocatable = machines.filter(
      (machine) =>
        this.#machines.isSpare(machine) &&
        !this.#machines.isEvacuated(machine) &&
        this.#machines.isAvailable(machine),
    );
    return {
      cpuMillis: cpuMillis + UNREPORTED_SHARE * unreportedCpuMillis,
      isComplete: unreportedCpuMillis === 0,
      arrivingCpuMillis: this.#machines.countArriving(pool) * hostCpu,
      allocatableCpuMillis: allocatable.length * hostCpu,
      machineCapacities: machines.map(({ capacity }) => capacity),
    };
  }

  /** Runs rounds of the control loop until the term ends. */
  async run(): Promise<void> {
    const { signal, ownership } = this.#context;
    await this.#waves.load();
    while (!signal.aborted) {
      await this.#wakeSignal.wait(CONTROL_LOOP_INTERVAL_MS, signal);
      if (!signal.aborted && ownership.canAct()) {
        this.#drainLeavingHosts();
        this.#evacuations.runRound();
        await this.#runRound();
      }
    }
  }

  /** Stops work on draining hosts in time for it to be started elsewhere. */
  #drainLeavingHosts(): void {
    const nowMs = this.#context.clock.getNow();
    this.#context.hosts.forEach((host, id) => {
      if (host.listedWorker?.isDraining !== true) {
        this.#drainSeenAtMs.delete(id);
        return;
      }
      const seenAtMs = this.#drainSeenAtMs.get(id) ?? nowMs;
      this.#drainSeenAtMs.set(id, seenAtMs);
      stopLongRunning(this.#context, host, 'the host is draining');
      const leftMs = (host.listedWorker.leavesInMs ?? 0) - (nowMs - seenAtMs);
      this.#stopLateRuns(host, leftMs);
    });
  }

  /** Stops runs with checkpoints that would not end before their host leaves: they resume elsewhere. */
  #stopLateRuns(host: Host, leftMs: number): void {
    const nowMs = this.#context.clock.getNow();
    host.runs.forEach((run) => {
      const { spec } = run.task.step;
      const remainingMs = getRunRemainingMs(run, this.#context.durations, nowMs);
      const isLate = remainingMs > leftMs - DEPARTURE_RESERVE_MS;
      if (run.phase === RunPhase.Running && !spec.isLasting && spec.keepsCheckpoints && isLate) {
        this.#context.stopRun(run, 'the host leaves before the run can end');
      }
    });
  }

  async #runRound(): Promise<void> {
    const { cloud, ownership, processorTime, getConfiguration } = this.#context;
    if (cloud === null || getConfiguration() === null) {
      return;
    }
    if (this.#machines.isLoaded) {
      void this.#machines.refresh();
    } else {
      await this.#machines.refresh();
    }
    if (!this.#machines.isLoaded || this.#context.signal.aborted) {
      return;
    }
    this.#endReplacedHosts();
    const isTooLate = ownership.getLeaseAgeMs() > MAX_ORDER_LEASE_AGE_MS;
    if (!this.#machines.intents.isKnown || isTooLate) {
      return;
    }
    this.#machines.intents.refresh();
    const waveCordons = await this.#waves.runRound();
    const moveCordons = processorTime.measure(Activity.Fleet, () =>
      this.#moveMachines(waveCordons),
    );
    this.#moveEvacuatedMachines(waveCordons);
    this.#applyCordons(new Map([...moveCordons, ...waveCordons]));
  }

  /**
   * Ends the hosts of former owners whose workers are on no machine of the list, which was requested in
   * this term. Work that waits for their reports can start at once.
   */
  #endReplacedHosts(): void {
    const unreconciledIds = [...this.#context.hosts.values()]
      .filter(({ isReconciled }) => !isReconciled)
      .map(({ incarnation }) => incarnation.id);
    if (unreconciledIds.length === 0) {
      return;
    }
    const presentIds = new Set(this.#machines.list().map(({ hostId }) => hostId));
    unreconciledIds
      .filter((id) => !presentIds.has(id))
      .forEach((id) => this.#endIncarnation(id, 'its worker is on no machine any more'));
  }

  #applyCordons(cordons: ReadonlyMap<string, string>): void {
    const { hosts, logger, requestDispatch } = this.#context;
    const ordered = this.#machines.listOrderedHosts();
    hosts.forEach((trackedHost, id) => {
      const host = trackedHost;
      // A host whose move or maintenance was ordered takes no work until the effect shows in the list.
      const reason =
        cordons.get(id) ??
        (ordered.has(id) ? 'a move or maintenance of its machine was ordered' : null);
      if (host.isCordoned !== (reason !== null)) {
        host.isCordoned = reason !== null;
        logger.recordInfo('host-cordon', { host: id, reason, runs: host.runs.size });
        requestDispatch();
      }
    });
  }

  #moveMachines(reserved: ReadonlyMap<string, string>): ReadonlyMap<string, string> {
    const demands = this.#listPoolDemands(reserved);
    const { moves, drains } = decideMoves(demands);
    const byName = new Map(this.#machines.list().map((machine) => [machine.machine, machine]));
    // Not awaited: a missing answer must not delay the next round.
    moves.forEach(({ machine, to }) => {
      const listedMachine = byName.get(machine);
      if (listedMachine !== undefined) {
        void this.#moveMachine(listedMachine, to);
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

  #moveEvacuatedMachines(reserved: ReadonlyMap<string, string>): void {
    const spare = this.#context.getConfiguration()?.pools.find(({ isSpare }) => isSpare);
    if (spare !== undefined) {
      this.#evacuations.listIdleMachines(reserved).forEach((machine) => {
        void this.#moveMachine(machine, spare.name);
      });
    }
  }

  async #moveMachine(machine: CloudHost, pool: string): Promise<void> {
    const host = this.#machines.findHost(machine);
    if (host !== null && !host.isIdle) {
      return;
    }
    if (host !== null) {
      host.isCordoned = true;
    }
    const isDone = await this.#machines.move(machine, pool);
    if (isDone && host !== null) {
      this.#recordDeparture(host.incarnation.id, 'moved to another pool');
    }
  }

  #listPoolDemands(reserved: ReadonlyMap<string, string>): readonly PoolDemand[] {
    const { clock, getConfiguration } = this.#context;
    const loads = getPoolLoads(this.#context);
    const nowMs = clock.getNow();
    const machines = this.#machines.list();
    const headroom = this.#turns.divideHeadroom(this.#machines.countUsable(), nowMs);
    return (getConfiguration()?.pools ?? []).map(({ name, isSpare }) => {
      const present = machines.filter(
        (machine) =>
          machine.pool === name &&
          !this.#machines.isEvacuated(machine) &&
          machine.state === CloudHostState.Up &&
          !this.#machines.isPending(machine.machine) &&
          (isSpare || this.#machines.findHost(machine) !== null),
      );
      const load = this.#addRefusedDemand(name, loads.get(name), nowMs);
      this.#recordLoad(name, load, present.length);
      const { cpuMillis, memoryMb } = (present[0] ?? machines[0])?.capacity ?? NO_CAPACITY;
      const sizing = { cpuMillis, memoryMb, minHosts: MIN_HOSTS };
      const demandHosts = load === undefined ? MIN_HOSTS : getDesiredHosts(load, sizing);
      const requiredHosts = load === undefined ? MIN_HOSTS : getRequiredHosts(load, sizing);
      const baseHosts = getBaseHosts(load, sizing);
      const extraHosts = demandHosts - baseHosts;
      const demandSample = { pool: name, extraHosts, arrivingJobs: load?.arrivingJobs ?? 0 };
      const predictedHosts = this.#turns.recordDemand(
        demandSample,
        this.#getMinBurstHosts(),
        nowMs,
      );
      const recentlyRequiredHosts = this.#requiredPeaks.record(name, requiredHosts, nowMs);
      const desiredHosts = Math.max(
        demandHosts,
        MIN_HOSTS + (headroom.get(name) ?? 0),
        baseHosts + Math.ceil(predictedHosts),
      );
      const arrivingCount = this.#machines.countArriving(name);
      return {
        name,
        isSpare,
        machines: present.map((machine) => this.#createMovableMachine(machine, reserved)),
        arrivingCount,
        hasWaitingTasks: (load?.waitingCpuMillis ?? 0) > 0,
        requiredHosts: isSpare ? 0 : recentlyRequiredHosts,
        desiredHosts: isSpare ? 0 : desiredHosts,
        retainedHosts: isSpare ? 0 : this.#recordDesired(name, desiredHosts, nowMs),
      };
    });
  }

  #addRefusedDemand(pool: string, load: PoolLoad | undefined, nowMs: number): PoolLoad | undefined {
    const refusedCpu = this.#refusedDemands
      .filter((refused) => refused.pool === pool && nowMs - refused.atMs < REFUSED_DEMAND_WINDOW_MS)
      .reduce((sum, { cpuMillis }) => sum + cpuMillis, 0);
    return load && { ...load, waitingCpuMillis: load.waitingCpuMillis + refusedCpu };
  }

  /** Returns the number of hosts beyond its base from which the demand of a pool counts as a burst. */
  #getMinBurstHosts(): number {
    return Math.max(MIN_BURST_HOSTS, Math.ceil(BURST_SHARE * this.#machines.list().length));
  }

  /** Logs the capacity and demand of a pool, at most once a second. */
  #recordLoad(pool: string, load: PoolLoad | undefined, upCount: number): void {
    const nowMs = this.#context.clock.getNow();
    if (
      load === undefined ||
      nowMs - (this.#loadLoggedAtMs.get(pool) ?? -Infinity) < LOAD_LOG_INTERVAL_MS
    ) {
      return;
    }
    this.#loadLoggedAtMs.set(pool, nowMs);
    const arrivingCount = this.#machines.countArriving(pool);
    const { cpuMillis: roomCpu } = this.getPoolCapacity(pool);
    const { poolHosts, poolCores } = this.#context.metrics;
    poolHosts.set({ pool, state: 'up' }, upCount);
    poolHosts.set({ pool, state: 'arriving' }, arrivingCount);
    poolHosts.set({ pool, state: 'wanted' }, this.#desiredPeaks.findLast(pool) ?? 0);
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

  /** Records the desired hosts of a pool, and returns the recent peak. */
  #recordDesired(pool: string, hosts: number, nowMs: number): number {
    const before = this.#desiredPeaks.findLast(pool);
    if (before !== hosts) {
      this.#context.logger.recordInfo('pool-wants', { pool, hosts, before });
    }
    return this.#desiredPeaks.record(pool, hosts, nowMs);
  }

  #createMovableMachine(machine: CloudHost, reserved: ReadonlyMap<string, string>): MovableMachine {
    const host = this.#machines.findHost(machine);
    const isReserved = machine.hostId !== null && reserved.has(machine.hostId);
    const canOrder = this.#machines.intents.canOrder(machine.machine);
    const isIdle = host === null || (host.isIdle && host.listedWorker?.isDraining !== true);
    return {
      machine: machine.machine,
      isIdle: isIdle && !isReserved && canOrder,
      canBeDrained:
        canOrder &&
        host?.isReconciled === true &&
        !isReserved &&
        host.isReachable &&
        listLongRunning(host).length === 0,
      usedCpuMillis: host?.getUsedResources().cpuMillis ?? 0,
    };
  }
}
