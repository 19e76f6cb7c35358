import { expect } from 'earl';
import fc from 'fast-check';

import { divideHeadroom, isBetweenBursts } from '../../index';

describe('headroom between bursts', () => {
  const TURNS = [0, 8_000, 16_000];

  it('is given up while a burst runs, and is back before the next is expected', () => {
    const times = [16_100, 20_900, 21_100, 24_000, 30_000];
    expect(times.map((nowMs) => isBetweenBursts(TURNS, nowMs))).toEqual([
      true,
      true,
      false,
      false,
      false,
    ]);
  });

  it('is kept from then on after one burst that started early', () => {
    expect(isBetweenBursts([...TURNS, 19_000], 19_100)).toEqual(false);
  });

  it('is kept without a learned interval, and where bursts are rare or follow each other closely', () => {
    [[], [0], [0, 40_000], [0, 5_000]].forEach((startsMs) => {
      expect(isBetweenBursts(startsMs, (startsMs.at(-1) ?? 0) + 100)).toEqual(false);
    });
  });

  it('goes mostly to the pool that has been idle longest, and never beyond its sum', () => {
    const idleTimes = fc.array(fc.integer({ min: 0, max: 100_000 }), {
      minLength: 1,
      maxLength: 6,
    });
    fc.assert(
      fc.property(idleTimes, (idleMs) => {
        const pools = idleMs.map((time, index) => ({ name: `pool-${index}`, idleMs: time }));
        const hosts = [...divideHeadroom(pools, 60).values()];
        const sum = hosts.reduce((total, count) => total + count, 0);
        const longest = idleMs.indexOf(Math.max(...idleMs));
        return sum <= 60 + hosts.length && hosts.every((count) => count <= (hosts[longest] ?? 0));
      }),
    );
  });
});
