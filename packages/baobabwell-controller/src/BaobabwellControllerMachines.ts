import type { TermContext } from './BaobabwellControllerContext';
import type { Host } from './BaobabwellControllerHost';
import type { CloudError, CloudHost } from '@baobabwell/platform';
import type { Result } from '@baobabwell/utils';

import { CloudHostState, CloudRefusal } from '@baobabwell/platform';

import {
  MACHINE_SETTLE_MS,
  MACHINES_PAUSE_MS,
  ORDER_LEASE_MS,
} from './BaobabwellControllerConstants';

/** An order for a machine whose effect has not shown in the list yet. */
type PendingOrder = {
  /** Pool that the machine goes to; its own for an upkeep. */
  readonly pool: string;
  readonly sentAtMs: number;
  readonly isAnswered: boolean;
};

/** The machines as the cloud interface lists them, with the orders that are under way. */
export class MachineBook {
  readonly #context: TermContext;

  readonly #pending = new Map<string, PendingOrder>();

  #machines: readonly CloudHost[] = [];

  #readAtMs: number | null = null;

  #isReading = false;

  constructor(context: TermContext) {
    this.#context = context;
  }

  /** True once the list was read in this term. */
  get isKnown(): boolean {
    return this.#readAtMs !== null;
  }

  list(): readonly CloudHost[] {
    return this.#machines;
  }

  isPending(machine: string): boolean {
    return this.#pending.has(machine);
  }

  /** Machines on their way to a pool. */
  countArriving(pool: string): number {
    return this.#machines.filter((machine) => this.#isArriving(machine, pool)).length;
  }

  /** Hosts whose machine was ordered to move or to have its upkeep. */
  listOrderedHosts(): ReadonlySet<string> {
    return new Set(
      this.#machines
        .filter(({ machine }) => this.isPending(machine))
        .flatMap(({ hostId }) => hostId ?? []),
    );
  }

  /** True for a machine in a spare pool, where it is off and runs nothing. */
  isSpare({ pool }: CloudHost): boolean {
    const pools = this.#context.getConfiguration()?.pools ?? [];
    return pools.some(({ name, isSpare }) => name === pool && isSpare);
  }

  /** The worker on a machine, if this owner knows it. */
  findHost({ hostId }: CloudHost): Host | null {
    return hostId === null ? null : (this.#context.hosts.get(hostId) ?? null);
  }

  /** Reads the list when the last one is too old. */
  async refresh(): Promise<void> {
    const { cloud, clock, logger } = this.#context;
    const sentAtMs = clock.getNow();
    const isFresh = this.#readAtMs !== null && sentAtMs - this.#readAtMs < MACHINES_PAUSE_MS;
    if (cloud === null || isFresh || this.#isReading) {
      return;
    }
    this.#isReading = true;
    const reply = await cloud.list();
    this.#isReading = false;
    if (!reply.ok) {
      logger.recordWarning('machines-not-listed', { cause: reply.error.cause });
      return;
    }
    this.#machines = reply.value;
    this.#readAtMs = sentAtMs;
    this.#dropSettled(sentAtMs);
  }

  /** Moves a machine to another pool. */
  async move(machine: CloudHost, pool: string): Promise<boolean> {
    return this.#order(machine, pool, 'move', async (order) =>
      this.#context.cloud?.move(order, pool),
    );
  }

  /** Starts the upkeep of a machine. */
  async startUpkeep(machine: CloudHost, wave: number): Promise<boolean> {
    return this.#order(machine, machine.pool, 'upkeep', async (order) =>
      this.#context.cloud?.startMaintenance(order, wave),
    );
  }

  async #order(
    machine: CloudHost,
    pool: string,
    what: string,
    send: (order: {
      readonly machine: string;
      readonly holder: string;
      readonly epoch: number;
    }) => Promise<Result<null, CloudError> | undefined>,
  ): Promise<boolean> {
    const { clock, logger, metrics, holder, term, ownership, signal } = this.#context;
    const name = machine.machine;
    // The next owner counts on it that nothing is ordered later; the next round decides anew.
    if (signal.aborted || ownership.getLeaseAgeMs() > ORDER_LEASE_MS) {
      return false;
    }
    const sentAtMs = clock.getNow();
    this.#pending.set(name, { pool, sentAtMs, isAnswered: false });
    const reply = await send({ machine: name, holder, epoch: term.epoch });
    const isDone = reply?.ok === true;
    const refusal = reply?.ok === false ? reply.error.kind : null;
    metrics.machineOrders.inc({ order: what, answer: refusal ?? 'carried-out' });
    logger.recordInfo('machine-ordered', {
      machine: name,
      order: what,
      from: machine.pool,
      to: pool,
      host: machine.hostId,
      epoch: term.epoch,
      refusal,
      tookMs: Math.round(clock.getNow() - sentAtMs),
    });
    if (refusal !== null && refusal !== CloudRefusal.Unanswered) {
      this.#pending.delete(name);
    } else {
      this.#pending.set(name, { pool, sentAtMs: clock.getNow(), isAnswered: isDone });
      this.#readAtMs = this.#readAtMs === null ? null : -Infinity;
    }
    return isDone;
  }

  #isArriving(machine: CloudHost, pool: string): boolean {
    const pending = this.#pending.get(machine.machine);
    if (pending !== undefined) {
      return pending.pool === pool;
    }
    const isOnItsWay =
      machine.state === CloudHostState.Moving || machine.state === CloudHostState.Maintenance;
    const isJoining = machine.state === CloudHostState.Up && this.findHost(machine) === null;
    return machine.pool === pool && (isOnItsWay || isJoining);
  }

  /** Orders whose effect shows in a list that was asked for after them. */
  #dropSettled(sentAtMs: number): void {
    this.#pending.forEach((order, name) => {
      const machine = this.#machines.find((other) => other.machine === name);
      const isListed = sentAtMs > order.sentAtMs;
      const isUp = machine?.state !== CloudHostState.Moving;
      const isOld = sentAtMs - order.sentAtMs > MACHINE_SETTLE_MS;
      if (isListed && ((order.isAnswered && isUp) || isOld)) {
        this.#pending.delete(name);
      }
    });
  }
}
