import type { PoolDemand } from '../../index';

import { expect } from 'earl';

import { decideMoves, RecentPeaks } from '../../index';

type PoolOptions = {
  readonly idle?: number;
  readonly busy?: number;
  readonly arriving?: number;
  readonly required?: number;
  readonly desired?: number;
  readonly retained?: number;
};

function createPool(name: string, options: PoolOptions, isSpare = false): PoolDemand {
  const { idle = 0, busy = 0, arriving = 0, required = 2 } = options;
  const desired = options.desired ?? required;
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
    hasWaitingTasks: false,
    requiredHosts: required,
    desiredHosts: desired,
    retainedHosts: options.retained ?? desired,
  };
}

function countMoves(pools: readonly PoolDemand[]): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  decideMoves(pools).moves.forEach(({ from, to }) => {
    counts[`${from}-${to}`] = (counts[`${from}-${to}`] ?? 0) + 1;
  });
  return counts;
}

describe('decideMoves', () => {
  it('takes headroom of other pools when work has no capacity and no machine is switched off', () => {
    const pools = [
      createPool('burst', { busy: 8, required: 18 }),
      createPool('next', { idle: 8, desired: 8 }),
      createPool('later', { idle: 7, busy: 1, desired: 8 }),
      createPool('spare', {}, true),
    ];
    expect(countMoves(pools)).toEqual({ 'next-burst': 6, 'later-burst': 4 });
  });

  it('takes machines that a pool retains only because it required them a second ago', () => {
    const pools = [
      createPool('ending', { idle: 13, busy: 2, required: 3, desired: 3, retained: 19 }),
      createPool('burst', { busy: 5, arriving: 3, required: 20 }),
    ];
    expect(countMoves(pools)).toEqual({ 'ending-burst': 12 });
  });

  it('leaves headroom in its pool while no work waits for it', () => {
    const pools = [
      createPool('steady', { idle: 2, desired: 6 }),
      createPool('next', { idle: 8, desired: 8 }),
    ];
    expect(countMoves(pools)).toEqual({});
  });

  it('fills two pools with a shortage to the same share of their requirement', () => {
    const pools = [
      createPool('large', { busy: 4, required: 20 }),
      createPool('small', { busy: 2, required: 10 }),
      createPool('spare', { idle: 6 }, true),
    ];
    expect(countMoves(pools)).toEqual({ 'spare-large': 4, 'spare-small': 2 });
  });

  it('fills up headroom only from machines that no pool retains', () => {
    const pools = [
      createPool('steady', { idle: 2, desired: 5 }),
      createPool('spare', { idle: 2 }, true),
    ];
    expect(countMoves(pools)).toEqual({ 'spare-steady': 2 });
  });

  it('drains busy machines for work elsewhere, and switches off machines that no pool retains', () => {
    const pools = [
      createPool('ending', { busy: 4, required: 2 }),
      createPool('burst', { busy: 1, required: 2 }),
    ];
    expect(decideMoves(pools)).toEqual({ moves: [], drains: ['ending-0'] });
    const idlePools = [createPool('ending', { idle: 4 }), createPool('spare', {}, true)];
    expect(countMoves(idlePools)).toEqual({ 'ending-spare': 2 });
  });
});

describe('RecentPeaks', () => {
  it('returns the maximum within the time span only', () => {
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

describe('the end of a burst', () => {
  it('gives machines straight to the next pool, before those that are switched off', () => {
    const pools = [
      createPool('spare', { idle: 10 }, true),
      createPool('ending', { idle: 6, busy: 6, required: 6 }),
      createPool('next', { busy: 4, required: 12 }),
    ];
    expect(countMoves(pools)).toEqual({ 'ending-next': 6, 'spare-next': 2 });
  });

  it('drains what the last tasks keep busy beyond the retained hosts, but no long running tasks', () => {
    const ending = createPool('ending', { busy: 8, required: 3, retained: 5 });
    const pools = [createPool('spare', {}, true), ending];
    expect(decideMoves(pools)).toEqual({ moves: [], drains: ['ending-0', 'ending-1', 'ending-2'] });
    const machines = ending.machines.map((machine) => ({ ...machine, canBeDrained: false }));
    expect(decideMoves([{ ...ending, machines }])).toEqual({ moves: [], drains: [] });
    const waiting = { ...ending, hasWaitingTasks: true };
    expect(decideMoves([createPool('spare', {}, true), waiting])).toEqual({
      moves: [],
      drains: [],
    });
  });
});
