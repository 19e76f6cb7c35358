/**
 * Load pattern: the work of one pool requires more hosts than the pool has, while other pools have
 * more than they require. Idle machines that no pool retains are moved first, because they would be
 * moved anyway, then those that are switched off, then idle ones that are headroom elsewhere. A busy
 * machine is drained for another pool only if no other is available. Several pools with a shortage
 * are filled to the same share of their requirement. Machines that no pool retains any longer are
 * switched off; where the last tasks of a burst keep more hosts busy than they require, some take no
 * new work until they are idle.
 */

/** A machine that may be moved to another pool. */
export type MovableMachine = {
  readonly machine: string;
  /** Nothing runs on it. */
  readonly isIdle: boolean;
  /** The machine may be drained: no long running task is on it. */
  readonly canBeDrained: boolean;
  /** CPU that its runs use, in thousandths of a core. */
  readonly usedCpuMillis: number;
};

/** The machines of a pool and the numbers of hosts that it demands. */
export type PoolDemand = {
  readonly name: string;
  readonly isSpare: boolean;
  /** Machines in the pool that are up, without those that are joining it. */
  readonly machines: readonly MovableMachine[];
  /** Number of machines that are joining the pool: being moved, in maintenance or not yet listed. */
  readonly arrivingCount: number;
  /** Tasks of the pool wait for a host, maybe for other reasons than its CPU. */
  readonly hasWaitingTasks: boolean;
  /** Hosts that the present work of the pool requires. */
  readonly requiredHosts: number;
  /** Hosts that the pool should have, including headroom. */
  readonly desiredHosts: number;
  /** Maximum of `desiredHosts` within the last second or two. */
  readonly retainedHosts: number;
};

/** A move of a machine to another pool. */
export type MachineMove = { readonly machine: string; readonly from: string; readonly to: string };

/** Moves and drains that `decideMoves` decided. */
export type MoveDecision = {
  readonly moves: readonly MachineMove[];
  /** Machines that take no new work, so that they can be moved once they are idle. */
  readonly drains: readonly string[];
};

type MovableCandidate = { readonly pool: PoolDemand; readonly machine: MovableMachine };

function countHosts({ machines, arrivingCount }: PoolDemand): number {
  return machines.length + arrivingCount;
}

/**
 * Minimum shortage of a pool, in hosts, before it takes machines that other pools retain: a move
 * costs two seconds of a machine.
 */
const MIN_SHORTAGE_HOSTS = 2;

/**
 * The same as a share of the required hosts: a smaller shortage appears and ends within one move.
 */
const MIN_SHORTAGE_SHARE = 0.25;

/**
 * Returns true if the shortage of a pool is so large that other pools give up machines that they
 * retain.
 */
function isStarved(pool: PoolDemand): boolean {
  const shortage = pool.requiredHosts - countHosts(pool);
  return shortage >= Math.max(MIN_SHORTAGE_HOSTS, MIN_SHORTAGE_SHARE * pool.requiredHosts);
}

/** Finds machines that pools can release, one by one, and tracks the machines already taken. */
class MachineSupply {
  readonly #pools: readonly PoolDemand[];

  readonly #taken = new Set<string>();

  readonly #hosts = new Map<string, number>();

  constructor(pools: readonly PoolDemand[]) {
    // Spare pools come last: what other pools do not retain would be moved to them next.
    this.#pools = pools.toSorted((a, b) => Number(a.isSpare) - Number(b.isSpare));
    pools.forEach((pool) => this.#hosts.set(pool.name, countHosts(pool)));
  }

  /** Finds an idle machine in any pool that has more hosts than its minimum. */
  findIdle(getMinHosts: (pool: PoolDemand) => number): MovableCandidate | null {
    return this.#find(getMinHosts, ({ isIdle }) => isIdle);
  }

  /** Finds the busy machine with the lowest CPU use that may be drained, in the first such pool. */
  findBusy(getMinHosts: (pool: PoolDemand) => number): MovableCandidate | null {
    return this.#find(getMinHosts, ({ isIdle, canBeDrained }) => !isIdle && canBeDrained);
  }

  /** Finds the busy machine with the lowest CPU use that may be drained in one pool above its minimum. */
  findBusyIn(pool: PoolDemand, minHosts: number): MovableCandidate | null {
    return this.#findIn(pool, minHosts, ({ isIdle, canBeDrained }) => !isIdle && canBeDrained);
  }

  /** Finds an idle machine in one pool if the pool has more hosts than the minimum. */
  findIdleIn(pool: PoolDemand, minHosts: number): MovableCandidate | null {
    return this.#findIn(pool, minHosts, ({ isIdle }) => isIdle);
  }

  /** Takes a machine out of its pool. */
  take({ pool, machine }: MovableCandidate): void {
    this.#taken.add(machine.machine);
    this.#hosts.set(pool.name, this.#countLeft(pool) - 1);
  }

  #countLeft({ name }: PoolDemand): number {
    return this.#hosts.get(name) ?? 0;
  }

  #find(
    getMinHosts: (pool: PoolDemand) => number,
    matches: (machine: MovableMachine) => boolean,
  ): MovableCandidate | null {
    for (const pool of this.#pools) {
      const found = this.#findIn(pool, pool.isSpare ? 0 : getMinHosts(pool), matches);
      if (found !== null) {
        return found;
      }
    }
    return null;
  }

  #findIn(
    pool: PoolDemand,
    minHosts: number,
    matches: (machine: MovableMachine) => boolean,
  ): MovableCandidate | null {
    if (this.#countLeft(pool) <= minHosts) {
      return null;
    }
    const machine = pool.machines
      .filter((listed) => !this.#taken.has(listed.machine) && matches(listed))
      .toSorted((a, b) => a.usedCpuMillis - b.usedCpuMillis)[0];
    return machine === undefined ? null : { pool, machine };
  }
}

type PoolRequest = { readonly pool: PoolDemand; readonly requested: number; hosts: number };

/**
 * Finds the pool that has the smallest share of its requested hosts; `null` if every request is
 * met.
 */
function findLeastSatisfied(pools: readonly PoolRequest[]): PoolRequest | null {
  const short = pools.filter(({ hosts, requested }) => hosts < requested);
  return short.toSorted((a, b) => a.hosts / a.requested - b.hosts / b.requested)[0] ?? null;
}

/** Returns the hosts that a pool retains unless the work of another pool requires them. */
function getRetained({ retainedHosts }: PoolDemand): number {
  return retainedHosts;
}

/** Returns the hosts that a pool retains even if the work of another pool has no capacity. */
function getRequired({ requiredHosts }: PoolDemand): number {
  return requiredHosts;
}

/** Decides which machines are moved to another pool, and which are drained for a later move. */
export function decideMoves(pools: readonly PoolDemand[]): MoveDecision {
  const supply = new MachineSupply(pools);
  const moves: MachineMove[] = [];
  const drains: string[] = [];
  const served = pools.filter(({ isSpare }) => !isSpare);
  const grantMachines = (
    getRequested: (pool: PoolDemand) => number,
    find: () => MovableCandidate | null,
    order: (candidate: MovableCandidate, to: PoolDemand) => void,
  ): void => {
    const requests = served.map((pool) => ({
      pool,
      requested: getRequested(pool),
      hosts: countHosts(pool) + moves.filter(({ to }) => to === pool.name).length,
    }));
    let neediest = findLeastSatisfied(requests);
    let candidate = neediest && find();
    while (neediest !== null && candidate !== null) {
      supply.take(candidate);
      order(candidate, neediest.pool);
      neediest.hosts += 1;
      neediest = findLeastSatisfied(requests);
      candidate = neediest && find();
    }
  };
  const move = ({ pool, machine }: MovableCandidate, to: PoolDemand): void => {
    moves.push({ machine: machine.machine, from: pool.name, to: to.name });
  };
  const drain = ({ machine }: MovableCandidate): void => {
    drains.push(machine.machine);
  };
  const starved = new Set(served.filter(isStarved));
  grantMachines(getRequired, () => supply.findIdle(getRetained), move);
  grantMachines(
    (pool) => (starved.has(pool) ? pool.requiredHosts : 0),
    () => supply.findIdle(getRequired),
    move,
  );
  grantMachines(getRequired, () => supply.findBusy(getRetained), drain);
  grantMachines(
    ({ desiredHosts }) => desiredHosts,
    () => supply.findIdle(getRetained),
    move,
  );
  const spare = pools.find(({ isSpare }) => isSpare);
  if (spare !== undefined) {
    served.forEach((pool) => {
      let excess = supply.findIdleIn(pool, pool.retainedHosts);
      while (excess !== null) {
        supply.take(excess);
        move(excess, spare);
        excess = supply.findIdleIn(pool, pool.retainedHosts);
      }
      excess = pool.hasWaitingTasks ? null : supply.findBusyIn(pool, pool.retainedHosts);
      while (excess !== null) {
        supply.take(excess);
        drain(excess);
        excess = supply.findBusyIn(pool, pool.retainedHosts);
      }
    });
  }
  return { moves, drains };
}
