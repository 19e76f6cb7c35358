import type { EmulatedHost } from './BaobabwellJobEmulatorHost';
import type { CloudError, CloudHost, CloudOrder } from '@baobabwell/platform';
import type { Clock, Result } from '@baobabwell/utils';

import { CloudControl, CloudHostState, CloudRefusal } from '@baobabwell/platform';
import { createError, createOk } from '@baobabwell/utils';

/** Duration of a call, in ms. */
const CALL_LATENCY_MS = 10;

/** Time for which a move or maintenance makes a machine unavailable, in ms. */
const UNAVAILABLE_MS = 1_500;

type Machine = {
  readonly name: string;
  pool: string;
  state: CloudHostState;
  hostId: string | null;
  readonly maintenanceWaves: Set<number>;
};

/** Callbacks through which the cloud interface affects hosts. */
export type CloudCallbacks = {
  readonly findHost: (id: string) => EmulatedHost | null;
  /** Ends the worker of a machine that was ordered to move or go down. */
  readonly endHost: (id: string) => void;
  /** Starts a worker on a machine and returns the worker's id. */
  readonly startWorker: (machine: string, pool: string) => string;
  readonly isSparePool: (pool: string) => boolean;
  readonly getZone: (machine: string) => string;
};

/** Emulates a cloud interface that moves machines between pools and takes them down for maintenance. */
export class EmulatedCloud extends CloudControl {
  /** True while the list of machines is not available; orders are carried out. */
  isListUnavailable = false;

  /** True while orders are neither answered nor carried out. */
  losesOrders = false;

  /** Highest number of machines that were down for maintenance at once. */
  maxDownCount = 0;

  readonly #orders: {
    readonly holder: string;
    readonly machine: string;
    readonly atMs: number;
  }[] = [];

  readonly #clock: Clock;

  readonly #callbacks: CloudCallbacks;

  readonly #machines = new Map<string, Machine>();

  constructor(clock: Clock, callbacks: CloudCallbacks) {
    super();
    this.#clock = clock;
    this.#callbacks = callbacks;
  }

  /** Adds a machine; `hostId` names the worker that runs on it, `null` in a spare pool. */
  addMachine(name: string, pool: string, hostId: string | null): void {
    const state = CloudHostState.Up;
    this.#machines.set(name, { name, pool, state, hostId, maintenanceWaves: new Set() });
  }

  /** Records that a machine's maintenance was done, as under an earlier owner. */
  recordMaintenance(name: string, wave: number): void {
    this.#machines.get(name)?.maintenanceWaves.add(wave);
  }

  countMaintained(wave: number): number {
    return [...this.#machines.values()].filter(({ maintenanceWaves }) => maintenanceWaves.has(wave))
      .length;
  }

  countInPool(pool: string): number {
    return [...this.#machines.values()].filter((machine) => machine.pool === pool).length;
  }

  countOrders(): number {
    return this.#orders.length;
  }

  /** Finds the time of the first order of a holder, in ms; `null` if it sent none. */
  findFirstOrderMs(holder: string): number | null {
    return this.#orders.find((order) => order.holder === holder)?.atMs ?? null;
  }

  /**
   * Finds the shortest time between consecutive orders of two different holders for one machine, in ms;
   * `null` when there was no handover.
   */
  findMinHandoverMs(): number | null {
    const handoversMs = this.#orders.flatMap((order, index) => {
      const previous = this.#orders
        .slice(0, index)
        .findLast(({ machine }) => machine === order.machine);
      return previous === undefined || previous.holder === order.holder
        ? []
        : [order.atMs - previous.atMs];
    });
    return handoversMs.length === 0 ? null : Math.min(...handoversMs);
  }

  override async list(): Promise<Result<readonly CloudHost[], CloudError>> {
    await this.#clock.wait(CALL_LATENCY_MS);
    if (this.isListUnavailable) {
      return createError({ kind: CloudRefusal.Unanswered, cause: 'not available' });
    }
    return createOk(
      [...this.#machines.values()].map(({ name, pool, state, hostId }) => ({
        machine: name,
        pool,
        state,
        zone: this.#callbacks.getZone(name),
        labels: [],
        capacity: { cpuMillis: 16_000, memoryMb: 65_536, gpus: 0 },
        hostId,
      })),
    );
  }

  override async move(order: CloudOrder, pool: string): Promise<Result<null, CloudError>> {
    await this.#clock.wait(CALL_LATENCY_MS);
    this.#recordOrder(order);
    if (this.losesOrders) {
      return createError({ kind: CloudRefusal.Unanswered, cause: 'not available' });
    }
    const machine = this.#machines.get(order.machine);
    if (machine?.state !== CloudHostState.Up) {
      return createError({ kind: CloudRefusal.Busy, cause: 'busy' });
    }
    if (machine.pool !== pool) {
      machine.pool = pool;
      this.#takeDown(machine, CloudHostState.Moving);
    }
    return createOk(null);
  }

  override async startMaintenance(
    order: CloudOrder,
    wave: number,
  ): Promise<Result<null, CloudError>> {
    await this.#clock.wait(CALL_LATENCY_MS);
    this.#recordOrder(order);
    const machine = this.#machines.get(order.machine);
    if (machine?.state !== CloudHostState.Up) {
      return createError({ kind: CloudRefusal.Busy, cause: 'busy' });
    }
    if (!machine.maintenanceWaves.has(wave)) {
      machine.maintenanceWaves.add(wave);
      this.#takeDown(machine, CloudHostState.Maintenance);
      const down = [...this.#machines.values()].filter(
        ({ state }) => state === CloudHostState.Maintenance,
      );
      this.maxDownCount = Math.max(this.maxDownCount, down.length);
    }
    return createOk(null);
  }

  #recordOrder({ holder, machine }: CloudOrder): void {
    this.#orders.push({ holder, machine, atMs: this.#clock.getNow() });
  }

  #takeDown(target: Machine, state: CloudHostState): void {
    const machine = target;
    if (machine.hostId !== null) {
      this.#callbacks.endHost(machine.hostId);
    }
    machine.state = state;
    machine.hostId = null;
    this.#clock.startTimer(UNAVAILABLE_MS, () => {
      machine.state = CloudHostState.Up;
      if (!this.#callbacks.isSparePool(machine.pool)) {
        machine.hostId = this.#callbacks.startWorker(machine.name, machine.pool);
      }
    });
  }
}
