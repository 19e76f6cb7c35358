/**
 * Load pattern: one pool's work needs more hosts than it has while others have more than they need.
 * Machines that are off come first, then idle ones that no pool keeps, then idle ones that stand by
 * elsewhere; a busy one is drained only when nothing else is left. Several needy pools come level by
 * share of what they need. Machines that nobody needs are switched off after a while.
 */

/** A machine that could be moved. */
export type MovableMachine = {
  readonly machine: string;
  /** Nothing runs on it. */
  readonly isIdle: boolean;
  /** It may be emptied: nothing on it lasts. */
  readonly canBeDrained: boolean;
  /** Processor that its runs use, in thousandths of a core. */
  readonly usedCpuMillis: number;
};

/** A pool with what it has and needs. */
export type PoolNeed = {
  readonly name: string;
  readonly isSpare: boolean;
  /** Machines in the pool that are up, without those on their way to it. */
  readonly machines: readonly MovableMachine[];
  /** Machines on their way to it. */
  readonly arrivingCount: number;
  /** Hosts that its work needs now. */
  readonly neededHosts: number;
  /** Hosts that it would like to have, with those that stand by. */
  readonly wantedHosts: number;
  /** Most hosts that it wanted within the last second or two. */
  readonly keptHosts: number;
};

/** A move of a machine to another pool. */
export type MachineMove = { readonly machine: string; readonly from: string; readonly to: string };

/** What is to be done about pools. */
export type MoveDecision = {
  readonly moves: readonly MachineMove[];
  /** Machines that take no new work because they are to be moved once idle. */
  readonly drains: readonly string[];
};

type Supplied = { readonly pool: PoolNeed; readonly machine: MovableMachine };

function countHosts({ machines, arrivingCount }: PoolNeed): number {
  return machines.length + arrivingCount;
}

/** Hosts lacking, at least, before a pool takes machines that others keep: a move costs two seconds of one. */
const MIN_LACK = 2;

/** The same as a share of what the pool needs: smaller lacks come and go within a move. */
const MIN_LACK_SHARE = 0.25;

/** Says whether a pool's work lacks so much that others give up machines that they keep. */
function isStarved(pool: PoolNeed): boolean {
  const lack = pool.neededHosts - countHosts(pool);
  return lack >= Math.max(MIN_LACK, MIN_LACK_SHARE * pool.neededHosts);
}

/** Gives the machines that pools can do without, one by one. */
class Supply {
  readonly #pools: readonly PoolNeed[];

  readonly #taken = new Set<string>();

  readonly #hosts = new Map<string, number>();

  constructor(pools: readonly PoolNeed[]) {
    // Machines that are off cost nothing.
    this.#pools = pools.toSorted((a, b) => Number(b.isSpare) - Number(a.isSpare));
    pools.forEach((pool) => this.#hosts.set(pool.name, countHosts(pool)));
  }

  /** Finds an idle machine in a pool that has more hosts than a floor. */
  findIdle(getFloor: (pool: PoolNeed) => number): Supplied | null {
    return this.#find(getFloor, ({ isIdle }) => isIdle);
  }

  /** Finds a busy machine that may be emptied, with the least on it first. */
  findBusy(getFloor: (pool: PoolNeed) => number): Supplied | null {
    return this.#find(getFloor, ({ isIdle, canBeDrained }) => !isIdle && canBeDrained);
  }

  /** Finds an idle machine in one pool if that has more hosts than a floor. */
  findIdleIn(pool: PoolNeed, floor: number): Supplied | null {
    return this.#findIn(pool, floor, ({ isIdle }) => isIdle);
  }

  /** Takes a machine out of its pool. */
  take({ pool, machine }: Supplied): void {
    this.#taken.add(machine.machine);
    this.#hosts.set(pool.name, this.#countLeft(pool) - 1);
  }

  #countLeft({ name }: PoolNeed): number {
    return this.#hosts.get(name) ?? 0;
  }

  #find(
    getFloor: (pool: PoolNeed) => number,
    matches: (machine: MovableMachine) => boolean,
  ): Supplied | null {
    for (const pool of this.#pools) {
      const found = this.#findIn(pool, pool.isSpare ? 0 : getFloor(pool), matches);
      if (found !== null) {
        return found;
      }
    }
    return null;
  }

  #findIn(
    pool: PoolNeed,
    floor: number,
    matches: (machine: MovableMachine) => boolean,
  ): Supplied | null {
    if (this.#countLeft(pool) <= floor) {
      return null;
    }
    const machine = pool.machines
      .filter((listed) => !this.#taken.has(listed.machine) && matches(listed))
      .toSorted((a, b) => a.usedCpuMillis - b.usedCpuMillis)[0];
    return machine === undefined ? null : { pool, machine };
  }
}

type Asking = { readonly pool: PoolNeed; readonly asked: number; hosts: number };

/** Finds the pool that has the least of what it asks for, among those that lack hosts. */
function findNeediest(pools: readonly Asking[]): Asking | null {
  const lacking = pools.filter(({ hosts, asked }) => hosts < asked);
  return lacking.toSorted((a, b) => a.hosts / a.asked - b.hosts / b.asked)[0] ?? null;
}

/** Hosts that a pool keeps while no other pool's work needs them. */
function getKept({ keptHosts }: PoolNeed): number {
  return keptHosts;
}

/** Hosts that a pool keeps while another pool's work has no room. */
function getNeeded({ neededHosts }: PoolNeed): number {
  return neededHosts;
}

/** Decides which machines change their pool. */
export function decideMoves(pools: readonly PoolNeed[]): MoveDecision {
  const supply = new Supply(pools);
  const moves: MachineMove[] = [];
  const drains: string[] = [];
  const served = pools.filter(({ isSpare }) => !isSpare);
  const grantMachines = (
    getAsked: (pool: PoolNeed) => number,
    find: () => Supplied | null,
    order: (supplied: Supplied, to: PoolNeed) => void,
  ): void => {
    const asking = served.map((pool) => ({
      pool,
      asked: getAsked(pool),
      hosts: countHosts(pool) + moves.filter(({ to }) => to === pool.name).length,
    }));
    let needy = findNeediest(asking);
    let supplied = needy && find();
    while (needy !== null && supplied !== null) {
      supply.take(supplied);
      order(supplied, needy.pool);
      needy.hosts += 1;
      needy = findNeediest(asking);
      supplied = needy && find();
    }
  };
  const move = ({ pool, machine }: Supplied, to: PoolNeed): void => {
    moves.push({ machine: machine.machine, from: pool.name, to: to.name });
  };
  const drain = ({ machine }: Supplied): void => {
    drains.push(machine.machine);
  };
  const starved = new Set(served.filter(isStarved));
  grantMachines(getNeeded, () => supply.findIdle(getKept), move);
  grantMachines(
    (pool) => (starved.has(pool) ? pool.neededHosts : 0),
    () => supply.findIdle(getNeeded),
    move,
  );
  grantMachines(getNeeded, () => supply.findBusy(getKept), drain);
  grantMachines(
    ({ wantedHosts }) => wantedHosts,
    () => supply.findIdle(getKept),
    move,
  );
  const spare = pools.find(({ isSpare }) => isSpare);
  if (spare !== undefined) {
    served.forEach((pool) => {
      let extra = supply.findIdleIn(pool, pool.keptHosts);
      while (extra !== null) {
        supply.take(extra);
        move(extra, spare);
        extra = supply.findIdleIn(pool, pool.keptHosts);
      }
    });
  }
  return { moves, drains };
}
