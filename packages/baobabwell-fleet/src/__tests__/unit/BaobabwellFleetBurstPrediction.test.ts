import { expect } from 'earl';

import { BurstPredictor } from '../../index';

const STEP_MS = 100;
const MIN_BURST_HOSTS = 3;
const PEAK_HOSTS = 16;
const RAMP_MS = 2_000;
const BURST_MS = 5_000;

/**
 * Returns the hosts demanded at a time after the start of a burst, as observed on the users' sites.
 */
function getDemandedHosts(sinceMs: number): number {
  if (sinceMs < 0 || sinceMs >= BURST_MS) {
    return 0;
  }
  return Math.ceil(PEAK_HOSTS * Math.min(1, (sinceMs + STEP_MS) / RAMP_MS));
}

/**
 * Simulates one burst each of two pools, and returns the prediction for the second pool at each
 * step.
 */
function simulateBursts(arrivingJobs: number): readonly number[] {
  const predictor = new BurstPredictor();
  const predicted: number[] = [];
  for (let nowMs = 0; nowMs < 2 * BURST_MS; nowMs += STEP_MS) {
    const first = { pool: 'north', extraHosts: getDemandedHosts(nowMs), arrivingJobs: 9 };
    const second = { pool: 'south', extraHosts: getDemandedHosts(nowMs - 7_000), arrivingJobs };
    predictor.record(first, MIN_BURST_HOSTS, nowMs);
    predicted.push(predictor.record(second, MIN_BURST_HOSTS, nowMs));
  }
  return predicted;
}

describe('BurstPredictor', () => {
  it('predicts most of the usual peak as soon as a burst starts', () => {
    const predicted = simulateBursts(9);
    const startStep = predicted.findIndex((hosts) => hosts > 0);
    expect(predicted[startStep]).toEqual(0.75 * PEAK_HOSTS);
    // The demand of the pool itself reaches this number only after three quarters of the ramp.
    const demandStep = Array.from({ length: 100 }, (_, step) => step).findIndex(
      (step) => getDemandedHosts(step * STEP_MS - 7_000) >= 0.75 * PEAK_HOSTS,
    );
    expect((demandStep - startStep) * STEP_MS >= 1_000).toEqual(true);
  });

  it('does not take a single large job for the start of a burst', () => {
    expect(simulateBursts(1).every((hosts) => hosts === 0)).toEqual(true);
  });

  it('predicts nothing before a first burst has ended, nor long after the start of a burst', () => {
    const predictor = new BurstPredictor();
    const sample = { pool: 'north', extraHosts: PEAK_HOSTS, arrivingJobs: 9 };
    expect(predictor.record(sample, MIN_BURST_HOSTS, 0)).toEqual(0);
    expect(predictor.record(sample, MIN_BURST_HOSTS, 2_500)).toEqual(0);
    predictor.record({ ...sample, extraHosts: 0 }, MIN_BURST_HOSTS, 5_000);
    expect(predictor.record(sample, MIN_BURST_HOSTS, 7_000)).toEqual(0.75 * PEAK_HOSTS);
    expect(predictor.record(sample, MIN_BURST_HOSTS, 9_600)).toEqual(0);
  });

  it('predicts the peak of a burst that still runs in another pool', () => {
    const predictor = new BurstPredictor();
    const north = { pool: 'north', extraHosts: PEAK_HOSTS, arrivingJobs: 9 };
    const south = { ...north, pool: 'south', extraHosts: PEAK_HOSTS / 4 };
    [0, 7_000].forEach((nowMs) => predictor.record(north, MIN_BURST_HOSTS, nowMs));
    expect(predictor.record(south, MIN_BURST_HOSTS, 7_500)).toEqual(0.75 * PEAK_HOSTS);
  });

  it('predicts nothing by a burst that has just begun', () => {
    const predictor = new BurstPredictor();
    const north = { pool: 'north', extraHosts: PEAK_HOSTS, arrivingJobs: 9 };
    [0, 1_000].forEach((nowMs) => predictor.record(north, MIN_BURST_HOSTS, nowMs));
    expect(predictor.record({ ...north, pool: 'south' }, MIN_BURST_HOSTS, 1_500)).toEqual(0);
  });

  it('predicts no new burst of a pool whose burst has just ended', () => {
    const predictor = new BurstPredictor();
    const sample = { pool: 'north', extraHosts: PEAK_HOSTS, arrivingJobs: 9 };
    [0, 2_500].forEach((nowMs) => predictor.record(sample, MIN_BURST_HOSTS, nowMs));
    predictor.record({ ...sample, extraHosts: 0 }, MIN_BURST_HOSTS, 5_000);
    expect(predictor.record(sample, MIN_BURST_HOSTS, 5_500)).toEqual(0);
    const other = { ...sample, pool: 'south' };
    expect(predictor.record(other, MIN_BURST_HOSTS, 5_500)).toEqual(0.75 * PEAK_HOSTS);
  });

  it('predicts after a handover what the former owner would have predicted', () => {
    const sample = { pool: 'north', extraHosts: PEAK_HOSTS, arrivingJobs: 9 };
    const former = new BurstPredictor();
    [0, 2_500].forEach((nowMs) => former.record(sample, MIN_BURST_HOSTS, nowMs));
    former.record({ ...sample, extraHosts: 0 }, MIN_BURST_HOSTS, 5_000);
    former.record({ ...sample, pool: 'south' }, MIN_BURST_HOSTS, 5_000);
    const next = new BurstPredictor();
    next.restore(former.save(1_000_000), -990_000, 16_500);
    [former, next].forEach((predictor, index) => {
      const nowMs = 6_500 + 10_000 * index;
      const south = predictor.record({ ...sample, pool: 'south' }, MIN_BURST_HOSTS, nowMs);
      expect(south).toEqual(0.75 * PEAK_HOSTS);
    });
    expect(next.listStartsMs()).toEqual([10_000, 15_000]);
  });
});
