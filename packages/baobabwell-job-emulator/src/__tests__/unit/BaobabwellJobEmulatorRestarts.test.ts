import { expect } from 'earl';

import { JobState } from '@baobabwell/jobs';

import { EmulatedJobFleet, formatAnswer, NO_STORE_FAULTS, OrderKind } from '../../index';

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

    it(`acknowledges no end of a new life before its row is read (host forgets ${forgets})`, async () => {
      await start(1);
      const former = fleet.submit([{ taskCount: 6, estimateMs: 200 }]);
      const running = fleet.submit([{ taskCount: 1, estimateMs: 9_000 }]);
      await fleet.time.advance(1_000);
      await expectCompleted([former]);
      fleet.startHost('host-0', 2_000).shouldKeepAcknowledgedPosition =
        shouldKeepAcknowledgedPosition;
      const next = submitStaggered(4, 100);
      await fleet.time.advance(2 * RECOVERY_MS);
      await expectCompleted([running, next]);
    });
  });

  it('acknowledges no end of a new life after a late report of the former one', async () => {
    await start(1);
    const former = fleet.submit([{ taskCount: 8, estimateMs: 500 }]);
    await fleet.time.advance(515);
    // The first end has been reported; the report of the others arrives after the row of the new life.
    fleet.faults.lateAnswersMs.set(formatAnswer(OrderKind.Hold, 'host-0'), 400);
    await fleet.time.advance(35);
    fleet.startHost('host-0');
    fleet.faults.lateAnswersMs.clear();
    fleet.rows.faults = { ...NO_STORE_FAULTS, commitAnswerMs: 250 };
    const next = submitStaggered(6, 120);
    await fleet.time.advance(800);
    fleet.rows.faults = NO_STORE_FAULTS;
    await fleet.time.advance(RECOVERY_MS);
    await expectCompleted([former, next]);
  });

  it('runs no task twice after a start answer of a former life', async () => {
    await start(2);
    await fleet.time.advance(5_000);
    const spread = { taskCount: 2, estimateMs: 9_000, maxPerHost: 1 };
    const former = fleet.submit([spread]);
    await fleet.time.advance(100);
    // The answer arrives after the row of the new life and sets its clock to that of the former one.
    fleet.faults.lateAnswersMs.set(formatAnswer(OrderKind.Start, 'host-0'), 300);
    const answeredLate = fleet.submit([spread]);
    await fleet.time.advance(50);
    fleet.startHost('host-0');
    await fleet.time.advance(900);
    const next = fleet.submit([{ taskCount: 4, estimateMs: 8_000 }]);
    await fleet.time.advance(100);
    fleet.faults.partitionedHosts.add('host-0');
    await fleet.time.advance(8_000);
    fleet.faults.partitionedHosts.clear();
    fleet.faults.lateAnswersMs.clear();
    await fleet.time.advance(2 * RECOVERY_MS);
    await expectCompleted([former, answeredLate, next]);
  });
});
