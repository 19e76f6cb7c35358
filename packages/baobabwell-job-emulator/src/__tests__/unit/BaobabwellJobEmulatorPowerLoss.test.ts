import { expect } from 'earl';

import { JobState } from '@baobabwell/jobs';

import { CrashRecovery, EmulatedJobFleet } from '../../index';

const SEED = 11;
const START_MS = 1_500;
const HOST_COUNT = 4;
const DAEMONS = ['a', 'b', 'c'];

/** Time for which the processes are down, in ms. */
const DOWN_MS = 700;

/** Time after the loss of power within which all jobs have ended, in ms. */
const RECOVERY_MS = 20_000;

/** Times from the storing of the last job to the loss of power, in ms: before and after its first start. */
const DELAYS_MS = [0, 5, 40, 400];

describe('an emulated fleet all of whose machines lose power', () => {
  let fleet: EmulatedJobFleet;

  /** Ends all processes in the same moment, and starts them later; the hosts come back by themselves. */
  async function losePower(): Promise<void> {
    DAEMONS.forEach((name) => fleet.killDaemon(name));
    fleet.crashHosts(fleet.listHosts().map(({ id }) => id));
    await fleet.time.advance(DOWN_MS);
    DAEMONS.forEach((name) => fleet.startDaemon(name));
  }

  afterEach(() => fleet.close());

  [CrashRecovery.SameId, CrashRecovery.OtherId].forEach((recovery) => {
    DELAYS_MS.forEach((delayMs) => {
      it(`runs and knows a job that was stored ${delayMs} ms before (hosts come back: ${recovery})`, async () => {
        fleet = new EmulatedJobFleet(SEED, HOST_COUNT);
        fleet.crashRecovery = recovery;
        DAEMONS.forEach((name) => fleet.startDaemon(name));
        await fleet.time.advance(START_MS);
        const running = fleet.submit([{ taskCount: HOST_COUNT, estimateMs: 3_000 }]);
        await fleet.time.advance(1_000);
        const last = fleet.submit([{ taskCount: 1, estimateMs: 1_000 }]);
        await fleet.time.advance(delayMs);
        await losePower();
        await fleet.time.advance(RECOVERY_MS);
        const states = await Promise.all([running, last].map(async (id) => fleet.findState(id)));
        expect(states).toEqual([JobState.Completed, JobState.Completed]);
        expect(fleet.oracle.violations).toEqual([]);
      });
    });
  });
});
