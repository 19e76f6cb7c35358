import type { EmulatedHost } from './BaobabwellJobEmulatorHost';
import type { CloudError, CloudHost, CloudOrder } from '@baobabwell/platform';
import type { Clock, Result } from '@baobabwell/utils';

import { CloudControl, CloudHostState, CloudRefusal } from '@baobabwell/platform';
import { createError, createOk } from '@baobabwell/utils';

/** Time that a call takes, and that a machine is away for a move or an upkeep, in ms. */
const CALL_LATENCY_MS = 10;
const UNAVAILABLE_MS = 1_500;

type Machine = {
  readonly name: string;
  pool: string;
  state: CloudHostState;
  hostId: string | null;
  readonly maintenanceWaves: Set<number>;
};

/** What the cloud interface does to the hosts. */
export type CloudCallbacks = {
  readonly findHost: (id: string) => EmulatedHost | null;
  readonly killHost: (id: string) => void;
  /** Starts a worker on a machine and gives its id. */
  readonly startWorker: (machine: string, pool: string) => string;
  readonly isSparePool: (pool: string) => boolean;
};

/** Machines that move between pools and go down for upkeep. */
export class EmulatedCloud extends CloudControl {
  /** Most machines that were down for upkeep at once. */
  maxDownCount = 0;

  readonly #orders: { readonly holder: string; readonly atMs: number }[] = [];

  readonly #clock: Clock;

  readonly #callbacks: CloudCallbacks;

  readonly #machines = new Map<string, Machine>();

  constructor(clock: Clock, callbacks: CloudCallbacks) {
    super();
    this.#clock = clock;
    this.#callbacks = callbacks;
  }

  /** Adds a machine; in a pool that is not spare a worker runs on it. */
  addMachine(name: string, pool: string, hostId: string | null): void {
    const state = CloudHostState.Up;
    this.#machines.set(name, { name, pool, state, hostId, maintenanceWaves: new Set() });
  }

  /** Records an upkeep as done, as an earlier owner left it. */
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

  /** Finds the shortest time between orders of two holders that followed each other, in ms. */
  findMinHandoverMs(): number | null {
    const handoversMs = this.#orders.flatMap((order, index) => {
      const previous = this.#orders[index - 1];
      return previous === undefined || previous.holder === order.holder
        ? []
        : [order.atMs - previous.atMs];
    });
    return handoversMs.length === 0 ? null : Math.min(...handoversMs);
  }

  override async list(): Promise<Result<readonly CloudHost[], CloudError>> {
    await this.#clock.wait(CALL_LATENCY_MS);
    return createOk(
      [...this.#machines.values()].map(({ name, pool, state, hostId }) => ({
        machine: name,
        pool,
        state,
        zone: 'north',
        labels: [],
        capacity: { cpuMillis: 16_000, memoryMb: 65_536, gpus: 0 },
        hostId,
      })),
    );
  }

  override async move(order: CloudOrder, pool: string): Promise<Result<null, CloudError>> {
    await this.#clock.wait(CALL_LATENCY_MS);
    this.#recordOrder(order);
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

  #recordOrder({ holder }: CloudOrder): void {
    this.#orders.push({ holder, atMs: this.#clock.getNow() });
  }

  #takeDown(taken: Machine, state: CloudHostState): void {
    const machine = taken;
    if (machine.hostId !== null) {
      this.#callbacks.killHost(machine.hostId);
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
