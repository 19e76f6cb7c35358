import { expect } from 'earl';

import { JobState } from '@baobabwell/jobs';

import { EmulatedJobFleet } from '../../index';

const SEED = 5;
const START_MS = 2_000;

/** Load of one busy host: runs start while the ends of others are being stored. */
const JOB_COUNT = 200;
const JOB_INTERVAL_MS = 9;
const TASK = {
  taskCount: 1,
  estimateMs: 150,
  need: { cpuMillis: 10, memoryMb: 1, gpus: 0 },
};

describe('hold calls on the emulated fleet', () => {
  it('report the ends of a busy host together while it is given further runs', async () => {
    const fleet = new EmulatedJobFleet(SEED, 1);
    fleet.startDaemon('a');
    await fleet.time.advance(START_MS);
    const [host] = fleet.listHosts();
    const before = host?.holdCount ?? 0;
    const jobs: string[] = [];
    for (let count = 0; count < JOB_COUNT; count += 1) {
      jobs.push(fleet.submit([TASK]));
      await fleet.time.advance(JOB_INTERVAL_MS);
    }
    await fleet.time.advance(5_000);
    const states = await Promise.all(jobs.map(async (id) => fleet.findState(id)));
    expect(states).toEqual(jobs.map(() => JobState.Completed));
    expect(fleet.oracle.violations).toEqual([]);
    const holds = (host?.holdCount ?? 0) - before;
    expect(holds < JOB_COUNT / 2).toEqual(true);
    fleet.close();
  });
});
