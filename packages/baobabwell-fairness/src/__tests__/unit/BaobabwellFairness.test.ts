import type { FairOrderSnapshot, PoolUsage, ReadyWork } from '../../index';
import type { Resources } from '@baobabwell/jobs';

import { expect } from 'earl';
import fc from 'fast-check';

import { ArrivalRates, computeShareLevel, decideFairOrder, getDominantShare } from '../../index';

const POOLS = ['ovens', 'stoves'];
const ORGANISATIONS = ['bakery', 'kitchen', 'school', 'guild'];
const CAPACITY: Resources = { cpuMillis: 100_000, memoryMb: 200_000, gpus: 0 };

function sum(resources: readonly Resources[]): Resources {
  return resources.reduce(
    (left, right) => ({
      cpuMillis: left.cpuMillis + right.cpuMillis,
      memoryMb: left.memoryMb + right.memoryMb,
      gpus: left.gpus + right.gpus,
    }),
    { cpuMillis: 0, memoryMb: 0, gpus: 0 },
  );
}

const resourcesArbitrary = fc.record({
  cpuMillis: fc.integer({ min: 1, max: 30_000 }),
  memoryMb: fc.integer({ min: 1, max: 60_000 }),
  gpus: fc.constant(0),
});

const workArbitrary: fc.Arbitrary<ReadyWork> = fc.record({
  pool: fc.constantFrom(...POOLS),
  organisation: fc.constantFrom(...ORGANISATIONS),
  workClass: fc.constantFrom('1.0', '1.1', '2.0'),
  need: resourcesArbitrary,
  isBeyondRate: fc.boolean(),
  isExempt: fc.constant(false),
});

const usageArbitrary: fc.Arbitrary<PoolUsage> = fc.record({
  capacity: fc.constant(CAPACITY),
  used: fc
    .uniqueArray(fc.tuple(fc.constantFrom(...ORGANISATIONS), resourcesArbitrary), {
      selector: ([name]) => name,
    })
    .map((entries) => new Map(entries)),
});

const snapshotArbitrary: fc.Arbitrary<FairOrderSnapshot<ReadyWork>> = fc.record({
  work: fc
    .array(workArbitrary, { maxLength: 25 })
    .map((work) => work.toSorted((left, right) => left.workClass.localeCompare(right.workClass))),
  pools: fc.tuple(usageArbitrary, usageArbitrary).map(
    ([first, second]) =>
      new Map([
        ['ovens', first],
        ['stoves', second],
      ]),
  ),
  weights: fc
    .tuple(...ORGANISATIONS.map(() => fc.integer({ min: 1, max: 9 })))
    .map((weights) => new Map(ORGANISATIONS.map((name, index) => [name, weights[index] ?? 1]))),
});

/** Lists, for each item of an order, whether its organisation is below its share when it starts. */
function listBelowShare(
  order: readonly ReadyWork[],
  { work, pools, weights }: FairOrderSnapshot<ReadyWork>,
): readonly boolean[] {
  const used = new Map<string, Resources>();
  const levels = new Map<string, number>();
  pools.forEach((usage, pool) => {
    const demands = ORGANISATIONS.map((name) => {
      const own = work.filter((item) => item.pool === pool && item.organisation === name);
      const inUse = usage.used.get(name) ?? sum([]);
      used.set(`${pool} ${name}`, inUse);
      return {
        weight: weights.get(name) ?? 0,
        demand: sum([inUse, ...own.map(({ need }) => need)]),
      };
    });
    levels.set(pool, computeShareLevel(demands, usage.capacity));
  });
  return order.map(({ pool, organisation, need }) => {
    const key = `${pool} ${organisation}`;
    const inUse = used.get(key) ?? sum([]);
    used.set(key, sum([inUse, need]));
    const share = (levels.get(pool) ?? 0) * (weights.get(organisation) ?? 0);
    return getDominantShare(inUse, CAPACITY) < share;
  });
}

describe('fairness', () => {
  it('places no work above a share before work below one of the same pool and class', () => {
    fc.assert(
      fc.property(snapshotArbitrary, (snapshot) => {
        const order = decideFairOrder(snapshot);
        const below = listBelowShare(order, snapshot);
        expect(order.length).toEqual(snapshot.work.length);
        order.forEach((item, index) =>
          order.slice(index + 1).forEach((later, offset) => {
            const isSameClass = item.pool === later.pool && item.workClass === later.workClass;
            const isUnfair = isSameClass && !below[index] && below[index + 1 + offset];
            expect(isUnfair).toEqual(false);
          }),
        );
      }),
    );
  });

  it('keeps the order where everything ready fits, and the order of classes always', () => {
    fc.assert(
      fc.property(snapshotArbitrary, (snapshot) => {
        const roomy = new Map(
          [...snapshot.pools].map(([pool, { used }]) => [
            pool,
            { used, capacity: { cpuMillis: 2_000_000, memoryMb: 4_000_000, gpus: 0 } },
          ]),
        );
        expect(decideFairOrder({ ...snapshot, pools: roomy })).toEqual(snapshot.work);
        expect(decideFairOrder(snapshot).map(({ workClass }) => workClass)).toEqual(
          snapshot.work.map(({ workClass }) => workClass),
        );
      }),
    );
  });

  it('shares no more than the capacity, and all of it where one dimension binds', () => {
    const demands = [
      { weight: 1, demand: { cpuMillis: 10_000, memoryMb: 0, gpus: 0 } },
      { weight: 1, demand: { cpuMillis: 300_000, memoryMb: 0, gpus: 0 } },
      { weight: 2, demand: { cpuMillis: 300_000, memoryMb: 0, gpus: 0 } },
    ];
    // 90,000 of 100,000 millicores are left for a weight of 3.
    expect(computeShareLevel(demands, CAPACITY)).toEqual(0.3);
    expect(computeShareLevel(demands.slice(0, 1), CAPACITY)).toEqual(Infinity);
  });

  it('lets the organisation that sends six times its usual wait first', () => {
    const item = { pool: 'ovens', workClass: '1.0', isExempt: false, isBeyondRate: false };
    const need = { cpuMillis: 20_000, memoryMb: 0, gpus: 0 };
    const work = ['guild', 'guild', 'guild', 'guild', 'guild', 'guild', 'school', 'bakery'].map(
      (organisation) => ({ ...item, organisation, need }),
    );
    const order = decideFairOrder({
      work,
      pools: new Map([['ovens', { capacity: CAPACITY, used: new Map() }]]),
      weights: new Map([
        ['guild', 1],
        ['school', 1],
        ['bakery', 1],
      ]),
    });
    expect(order.map(({ organisation }) => organisation)).toEqual([
      ...['guild', 'guild', 'guild', 'school', 'bakery'],
      ...['guild', 'guild', 'guild'],
    ]);
  });

  it('counts the jobs of an organisation beyond its weight in jobs a second', () => {
    const rates = new ArrivalRates();
    const within = Array.from({ length: 60 }, (_, index) => rates.take('guild', 3, index * 100));
    // Six seconds at 10 jobs a second: what was saved in two seconds, and 3 in each second.
    expect(within.filter(Boolean).length).toEqual(23);
    expect(rates.getDelayMs('guild', 3, 5_900) > 0).toEqual(true);
    expect(rates.getDelayMs('guild', 3, 6_500)).toEqual(0);
  });
});
