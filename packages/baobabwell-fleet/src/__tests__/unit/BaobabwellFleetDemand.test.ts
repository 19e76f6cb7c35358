import { expect } from 'earl';

import { getDesiredHosts, getRequiredHosts } from '../../index';

const SIZE = { cpuMillis: 16_000, memoryMb: 32_000, minHosts: 2 };

const LOAD = {
  longRunningCpuMillis: 0,
  longRunningHosts: 1,
  runningCpuMillis: 600_000,
  waitingCpuMillis: 0,
  arrivingCpuMillis: 600_000,
  previousArrivingCpuMillis: 600_000,
  arrivingJobs: 9,
  longRunningMemoryMb: 0,
  currentMemoryMb: 300_000,
};

describe('the demand of a pool', () => {
  it('does not follow a second in which more jobs arrived by chance', () => {
    const steady = getDesiredHosts(LOAD, SIZE);
    const chance = { ...LOAD, arrivingCpuMillis: 800_000, arrivingJobs: 12 };
    // Of the two seconds, as many arrived as 700 cores can do.
    expect(getDesiredHosts(chance, SIZE) <= Math.ceil((steady * 700) / 600)).toEqual(true);
  });

  it('follows the start of a burst', () => {
    const start = { ...LOAD, previousArrivingCpuMillis: 50_000, runningCpuMillis: 350_000 };
    expect(getDesiredHosts(start, SIZE) >= 1.8 * getRequiredHosts(start, SIZE)).toEqual(true);
  });

  it('counts memory where tasks require more of it than CPU', () => {
    const large = { ...LOAD, currentMemoryMb: 2_400_000 };
    expect(getRequiredHosts(large, SIZE)).toEqual(Math.ceil(2_400_000 / (32_000 * 0.92)));
    expect(getRequiredHosts(LOAD, SIZE)).toEqual(Math.ceil(600_000 / (16_000 * 0.92)));
  });
});
