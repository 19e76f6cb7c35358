/**
 * Load pattern: one organisation sends several times its usual load while the pools are full, and
 * everybody's work waits behind it. Within one class, work of organisations below their share goes
 * before work of those above it, and the jobs that an organisation sent beyond its rate wait first.
 * Where everything ready fits, the order stays as it is.
 */
import type { FairOrderSnapshot, PoolUsage, ReadyWork } from './BaobabwellFairnessModel';
import type { Resources } from '@baobabwell/jobs';

import { addResources, NO_RESOURCES } from '@baobabwell/jobs';

import { computeShareLevel, getDominantShare } from './BaobabwellFairnessShares';

/** Place of work within its class; work with a lower one goes first. */
enum Tier {
  WithinShare = 0,
  WithinShareBeyondRate = 1,
  BeyondShare = 2,
  BeyondShareAndRate = 3,
}

const TIERS = [
  Tier.WithinShare,
  Tier.WithinShareBeyondRate,
  Tier.BeyondShare,
  Tier.BeyondShareAndRate,
];

/** Tracks what each organisation uses in a pool, with the work that was ordered before. */
class PoolShares {
  readonly #capacity: Resources;

  readonly #used: Map<string, Resources>;

  readonly #getWeight: (organisation: string) => number;

  readonly #level: number;

  constructor(
    { capacity, used }: PoolUsage,
    work: readonly ReadyWork[],
    getWeight: (organisation: string) => number,
  ) {
    this.#capacity = capacity;
    this.#used = new Map(used);
    this.#getWeight = getWeight;
    const demands = new Map(used);
    work.forEach(({ organisation, need }) =>
      demands.set(organisation, addResources(demands.get(organisation) ?? NO_RESOURCES, need)),
    );
    this.#level = computeShareLevel(
      [...demands].map(([organisation, demand]) => ({
        weight: getWeight(organisation),
        demand,
      })),
      capacity,
    );
  }

  /** Decides the tier of work, and adds the work to what its organisation uses. */
  take({ organisation, need, isBeyondRate }: ReadyWork): Tier {
    if (this.#level === Infinity) {
      return Tier.WithinShare;
    }
    const used = this.#used.get(organisation) ?? NO_RESOURCES;
    this.#used.set(organisation, addResources(used, need));
    const share = this.#level * this.#getWeight(organisation);
    if (getDominantShare(used, this.#capacity) < share) {
      return isBeyondRate ? Tier.WithinShareBeyondRate : Tier.WithinShare;
    }
    return isBeyondRate ? Tier.BeyondShareAndRate : Tier.BeyondShare;
  }
}

/** Lists the positions at which the work of each class begins and ends. */
function listClassRanges(work: readonly ReadyWork[]): readonly (readonly [number, number])[] {
  const ranges: [number, number][] = [];
  work.forEach(({ workClass }, index) => {
    const last = ranges.at(-1);
    if (last !== undefined && work[last[0]]?.workClass === workClass) {
      last[1] = index + 1;
    } else {
      ranges.push([index, index + 1]);
    }
  });
  return ranges;
}

function createWeightFinder(weights: ReadonlyMap<string, number>): (name: string) => number {
  const total = [...weights.values()].reduce((sum, weight) => sum + weight, 0);
  const mean = total / weights.size;
  return (name) => weights.get(name) ?? mean;
}

/** Decides the order in which ready work is placed. */
export function decideFairOrder<Work extends ReadyWork>({
  work,
  pools,
  weights,
}: FairOrderSnapshot<Work>): readonly Work[] {
  if (weights.size === 0) {
    return work;
  }
  const getWeight = createWeightFinder(weights);
  const byPool = new Map<string, Work[]>();
  work.forEach((item) => {
    if (!item.isExempt && pools.has(item.pool)) {
      const items = byPool.get(item.pool) ?? [];
      items.push(item);
      byPool.set(item.pool, items);
    }
  });
  const shares = new Map<string, PoolShares>();
  byPool.forEach((items, pool) => {
    const usage = pools.get(pool);
    if (usage !== undefined) {
      shares.set(pool, new PoolShares(usage, items, getWeight));
    }
  });
  return listClassRanges(work).flatMap(([from, to]) => {
    const items = work.slice(from, to);
    const tiers = new Map<Work, Tier>();
    [false, true].forEach((isBeyondRate) =>
      items
        .filter((item) => item.isBeyondRate === isBeyondRate)
        .forEach((item) => {
          const poolShares = item.isExempt ? undefined : shares.get(item.pool);
          tiers.set(item, poolShares?.take(item) ?? Tier.WithinShare);
        }),
    );
    return TIERS.flatMap((tier) => items.filter((item) => tiers.get(item) === tier));
  });
}
