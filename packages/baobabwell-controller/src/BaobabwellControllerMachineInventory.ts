import type { TermContext } from './BaobabwellControllerContext';
import type { Host } from './BaobabwellControllerHost';
import type { CloudError, CloudHost, CloudOrder } from '@baobabwell/platform';
import type { Result } from '@baobabwell/utils';

import { CloudHostState, CloudRefusal } from '@baobabwell/platform';

import {
  MACHINE_ORDER_TIMEOUT_MS,
  MAX_MACHINE_LIST_AGE_MS,
  MAX_ORDER_LEASE_AGE_MS,
  MAX_ORDER_LIST_AGE_MS,
} from './BaobabwellControllerConstants';
import { isReplaced } from './BaobabwellControllerHost';
import { describeKnowledge } from './BaobabwellControllerHostLog';
import { OrderIntents } from './BaobabwellControllerOrderIntents';

/** An order for a machine whose effect has not shown in the list yet. */
type PendingOrder = {
  /** Pool to which the machine moves; its own pool for maintenance. */
  readonly pool: string;
  readonly sentAtMs: number;
  readonly isAnswered: boolean;
};

/** Caches the list of machines from the cloud interface and tracks pending orders for them. */
export class MachineInventory {
  readonly #context: TermContext;

  readonly #pendingOrders = new Map<string, PendingOrder>();

  #machines: readonly CloudHost[] = [];

  #readAtMs: number | null = null;

  /** Monotonic time at which the present list was requested, in ms. */
  #listedAtMs = -Infinity;

  #isReading = false;

  readonly intents: OrderIntents;

  constructor(context: TermContext) {
    this.#context = context;
    this.intents = new OrderIntents(context);
  }

  /** True once the list has been read in this term. */
  get isLoaded(): boolean {
    return this.#readAtMs !== null;
  }

  list(): readonly CloudHost[] {
    return this.#machines;
  }

  isPending(machine: string): boolean {
    return this.#pendingOrders.has(machine);
  }

  /** Returns true for a machine that is up and may be ordered now. */
  isAvailable({ machine, state }: CloudHost): boolean {
    return (
      state === CloudHostState.Up && !this.isPending(machine) && this.intents.canOrder(machine)
    );
  }

  /** Returns true for a machine in a data centre that the operator evacuates. */
  isEvacuated({ zone }: CloudHost): boolean {
    return this.#context.evacuations.isEvacuated(zone);
  }

  /** Counts the machines that may take work. */
  countUsable(): number {
    return this.#machines.filter((machine) => !this.isEvacuated(machine)).length;
  }

  /** Counts the machines that are joining a pool and may take work there. */
  countArriving(pool: string): number {
    return this.#machines.filter(
      (machine) => this.#isArriving(machine, pool) && !this.isEvacuated(machine),
    ).length;
  }

  /**
   * Lists the hosts whose machines have a pending order for a move or maintenance that may still be carried
   * out: a list that shows its effect may not come.
   */
  listOrderedHosts(): ReadonlySet<string> {
    const nowMs = this.#context.clock.getNow();
    const mayBeCarriedOut = ({ machine }: CloudHost): boolean => {
      const sentAtMs = this.#pendingOrders.get(machine)?.sentAtMs ?? -Infinity;
      return nowMs - sentAtMs <= MACHINE_ORDER_TIMEOUT_MS;
    };
    return new Set(this.#machines.filter(mayBeCarriedOut).flatMap(({ hostId }) => hostId ?? []));
  }

  /** Returns true for a machine in a spare pool, where it is switched off and runs nothing. */
  isSpare({ pool }: CloudHost): boolean {
    const pools = this.#context.getConfiguration()?.pools ?? [];
    return pools.some(({ name, isSpare }) => name === pool && isSpare);
  }

  /** Returns the host on a machine, or `null` when this owner does not track it. */
  findHost({ hostId }: CloudHost): Host | null {
    return hostId === null ? null : (this.#context.hosts.get(hostId) ?? null);
  }

  /** Reads the list of machines again when the cached one is too old. */
  async refresh(): Promise<void> {
    const { cloud, clock, logger } = this.#context;
    const sentAtMs = clock.getNow();
    const isFresh = this.#readAtMs !== null && sentAtMs - this.#readAtMs < MAX_MACHINE_LIST_AGE_MS;
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
    this.#listedAtMs = sentAtMs;
    this.#removeFinishedOrders(sentAtMs);
  }

  /** Moves a machine to another pool. */
  async move(machine: CloudHost, pool: string): Promise<boolean> {
    return this.#sendOrder(machine, pool, 'move', async (order) =>
      this.#context.cloud?.move(order, pool),
    );
  }

  /** Starts the maintenance of a machine. */
  async startMaintenance(machine: CloudHost, wave: number): Promise<boolean> {
    return this.#sendOrder(machine, machine.pool, 'upkeep', async (order) =>
      this.#context.cloud?.startMaintenance(order, wave),
    );
  }

  async #sendOrder(
    machine: CloudHost,
    pool: string,
    orderName: string,
    send: (order: CloudOrder) => Promise<Result<null, CloudError> | undefined>,
  ): Promise<boolean> {
    const { clock, logger, metrics, holder, term, ownership, signal } = this.#context;
    const name = machine.machine;
    // The next owner relies on this owner sending no later orders; the next round decides again.
    const isAllowed = (): boolean =>
      !signal.aborted && ownership.getLeaseAgeMs() <= MAX_ORDER_LEASE_AGE_MS;
    const sentAtMs = clock.getNow();
    const host = this.findHost(machine);
    if (!isAllowed() || this.#isOutdated(host)) {
      return false;
    }
    const known = describeKnowledge(sentAtMs, host);
    this.#pendingOrders.set(name, { pool, sentAtMs, isAnswered: false });
    const isAnnounced = await this.intents.announce(name);
    if (!isAnnounced || !isAllowed() || host?.isIdle === false || this.#isOutdated(host)) {
      this.#pendingOrders.delete(name);
      return false;
    }
    const reply = await send({ machine: name, holder, epoch: term.epoch, isAllowed });
    this.intents.recordOrder(name);
    const isDone = reply?.ok === true;
    const refusal = reply?.ok === false ? reply.error.kind : null;
    metrics.machineOrders.inc({ order: orderName, answer: refusal ?? 'carried-out' });
    logger.recordInfo('machine-ordered', {
      machine: name,
      order: orderName,
      from: machine.pool,
      to: pool,
      host: machine.hostId,
      epoch: term.epoch,
      refusal,
      tookMs: Math.round(clock.getNow() - sentAtMs),
      ...known,
    });
    if (refusal !== null && refusal !== CloudRefusal.Unanswered) {
      this.#pendingOrders.delete(name);
    } else {
      this.#pendingOrders.set(name, { pool, sentAtMs: clock.getNow(), isAnswered: isDone });
      this.#readAtMs = this.#readAtMs === null ? null : -Infinity;
    }
    return isDone;
  }

  /** Returns true when a machine may have another worker than the list names. */
  #isOutdated(host: Host | null): boolean {
    const { clock, hosts } = this.#context;
    const ageMs = clock.getNow() - this.#listedAtMs;
    return ageMs > MAX_ORDER_LIST_AGE_MS || (host !== null && isReplaced(hosts, host));
  }

  #isArriving(machine: CloudHost, pool: string): boolean {
    const pending = this.#pendingOrders.get(machine.machine);
    if (pending !== undefined) {
      return pending.pool === pool;
    }
    const isMovingOrInMaintenance =
      machine.state === CloudHostState.Moving || machine.state === CloudHostState.Maintenance;
    const isJoining = machine.state === CloudHostState.Up && this.findHost(machine) === null;
    return machine.pool === pool && (isMovingOrInMaintenance || isJoining);
  }

  /** Removes orders whose effect shows in a list that was requested after them, and expired orders. */
  #removeFinishedOrders(sentAtMs: number): void {
    if (this.#pendingOrders.size === 0) {
      return;
    }
    const byName = new Map(this.#machines.map((machine) => [machine.machine, machine]));
    this.#pendingOrders.forEach((order, name) => {
      const machine = byName.get(name);
      const isListNewer = sentAtMs > order.sentAtMs;
      const isUp = machine?.state !== CloudHostState.Moving;
      const isExpired = sentAtMs - order.sentAtMs > MACHINE_ORDER_TIMEOUT_MS;
      if (isListNewer && ((order.isAnswered && isUp) || isExpired)) {
        this.#pendingOrders.delete(name);
      }
    });
  }
}
