import { expect } from 'earl';

import { JobState } from '@baobabwell/jobs';

import { EmulatedJobFleet, NO_STORE_FAULTS } from '../../index';

const SEED = 5;
const START_MS = 1_500;

/** Time after a fault within which all jobs have ended, in ms. */
const RECOVERY_MS = 15_000;

describe('hosts of the emulated fleet that restart under their ids', () => {
  let fleet: EmulatedJobFleet;

  async function start(hostCount: number): Promise<void> {
    fleet = new EmulatedJobFleet(SEED, hostCount);
    ['a', 'b', 'c'].forEach((name) => fleet.startDaemon(name));
    await fleet.time.advance(START_MS);
  }

  /** Submits a job whose tasks end one ms after the other. */
  function submitStaggered(taskCount: number, firstEndMs: number): string {
    return fleet.submit(
      Array.from({ length: taskCount }, (_, index) => ({
        taskCount: 1,
        estimateMs: firstEndMs + index,
      })),
    );
  }

  async function expectCompleted(jobIds: readonly string[]): Promise<void> {
    expect(fleet.oracle.violations).toEqual([]);
    const states = await Promise.all(jobIds.map(async (id) => fleet.findState(id)));
    expect(states).toEqual(jobIds.map(() => JobState.Completed));
  }

  afterEach(() => fleet.close());

  [false, true].forEach((shouldKeepAcknowledgedPosition) => {
    const forgets = shouldKeepAcknowledgedPosition ? 'later ends too' : 'listed ends';

    it(`acknowledges no end of a new life after storing ends of the former one (host forgets ${forgets})`, async () => {
      await start(1);
      const former = fleet.submit([{ taskCount: 8, estimateMs: 200 }]);
      const last = fleet.submit([{ taskCount: 1, estimateMs: 1_000 }]);
      await fleet.time.advance(1_100);
      fleet.rows.faults = { ...NO_STORE_FAULTS, commitAnswerMs: 300 };
      // The last end has been reported, and the transaction that stores it is under way.
      await fleet.time.advance(150);
      expect(await fleet.findState(last)).toEqual(JobState.Running);
      fleet.startHost('host-0').shouldKeepAcknowledgedPosition = shouldKeepAcknowledgedPosition;
      const next = submitStaggered(6, 900);
      await fleet.time.advance(400);
      fleet.rows.faults = NO_STORE_FAULTS;
      await fleet.time.advance(RECOVERY_MS);
      await expectCompleted([former, last, next]);
    });
  });
});
