import type { PoolNeed } from '../../index';

import { expect } from 'earl';

import { decideMoves, RecentPeaks } from '../../index';

type Sketch = {
  readonly idle?: number;
  readonly busy?: number;
  readonly arriving?: number;
  readonly needed?: number;
  readonly wanted?: number;
  readonly kept?: number;
};

function createPool(name: string, sketch: Sketch, isSpare = false): PoolNeed {
  const { idle = 0, busy = 0, arriving = 0, needed = 2 } = sketch;
  const wanted = sketch.wanted ?? needed;
  return {
    name,
    isSpare,
    machines: Array.from({ length: idle + busy }, (_, index) => ({
      machine: `${name}-${index}`,
      isIdle: index < idle,
      canBeDrained: index >= idle,
      usedCpuMillis: index < idle ? 0 : 1_000,
    })),
    arrivingCount: arriving,
    neededHosts: needed,
    wantedHosts: wanted,
    keptHosts: sketch.kept ?? wanted,
  };
}

function countMoves(pools: readonly PoolNeed[]): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  decideMoves(pools).moves.forEach(({ from, to }) => {
    counts[`${from}-${to}`] = (counts[`${from}-${to}`] ?? 0) + 1;
  });
  return counts;
}

describe('moves of machines between pools', () => {
  it('take machines that stand by elsewhere when work has no room and none is off', () => {
    const pools = [
      createPool('turn', { busy: 8, needed: 18 }),
      createPool('next', { idle: 8, wanted: 8 }),
      createPool('later', { idle: 7, busy: 1, wanted: 8 }),
      createPool('spare', {}, true),
    ];
    expect(countMoves(pools)).toEqual({ 'next-turn': 6, 'later-turn': 4 });
  });

  it('take machines that a pool kept only because it needed them a second ago', () => {
    const pools = [
      createPool('over', { idle: 13, busy: 2, needed: 3, wanted: 3, kept: 19 }),
      createPool('turn', { busy: 5, arriving: 3, needed: 20 }),
    ];
    expect(countMoves(pools)).toEqual({ 'over-turn': 12 });
  });

  it('leave machines that stand by alone while no work waits for them', () => {
    const pools = [
      createPool('calm', { idle: 2, wanted: 6 }),
      createPool('next', { idle: 8, wanted: 8 }),
    ];
    expect(countMoves(pools)).toEqual({});
  });

  it('bring two needy pools level by share of what they need', () => {
    const pools = [
      createPool('large', { busy: 4, needed: 20 }),
      createPool('small', { busy: 2, needed: 10 }),
      createPool('spare', { idle: 6 }, true),
    ];
    expect(countMoves(pools)).toEqual({ 'spare-large': 4, 'spare-small': 2 });
  });

  it('fill up what stands by only from machines that nobody keeps', () => {
    const pools = [
      createPool('calm', { idle: 2, wanted: 5 }),
      createPool('spare', { idle: 2 }, true),
    ];
    expect(countMoves(pools)).toEqual({ 'spare-calm': 2 });
  });

  it('empty busy machines for work elsewhere, and switch off what nobody keeps', () => {
    const pools = [
      createPool('over', { busy: 4, needed: 2 }),
      createPool('turn', { busy: 1, needed: 2 }),
    ];
    expect(decideMoves(pools)).toEqual({ moves: [], drains: ['over-0'] });
    const resting = [createPool('over', { idle: 4 }), createPool('spare', {}, true)];
    expect(countMoves(resting)).toEqual({ 'over-spare': 2 });
  });
});

describe('what pools asked for lately', () => {
  it('counts the most within the span only', () => {
    const peaks = new RecentPeaks(1_000);
    expect([
      peaks.record('a', 9, 0),
      peaks.record('a', 4, 500),
      peaks.record('a', 3, 1_100),
      peaks.record('b', 1, 1_100),
    ]).toEqual([9, 9, 4, 1]);
    expect(peaks.findLast('a')).toEqual(3);
  });
});
