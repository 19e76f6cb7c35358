import { expect } from 'earl';

import { JobState } from '@baobabwell/jobs';

import { EmulatedJobFleet, formatAnswer, OrderKind } from '../../index';

const SEED = 41;
const START_MS = 1_500;

/** A gang whose members run on three hosts, longer than between two reports. */
const GANG = {
  taskCount: 3,
  need: { cpuMillis: 10_000, memoryMb: 1_000, gpus: 0 },
  estimateMs: 6_000,
  isGang: true,
  keepsCheckpoints: true,
};

describe('gangs of the emulated fleet', () => {
  let fleet: EmulatedJobFleet;

  async function start(): Promise<void> {
    fleet = new EmulatedJobFleet(SEED, 6);
    ['a', 'b', 'c'].forEach((name) => fleet.startDaemon(name));
    await fleet.time.advance(START_MS);
  }

  function countStarts(job: string): number {
    return fleet.logLines.filter(
      (line) => line.includes('event=start-ordered') && line.includes(job),
    ).length;
  }

  async function expectCompleted(job: string): Promise<void> {
    await fleet.time.advance(16_000);
    expect(fleet.oracle.violations).toEqual([]);
    expect([countStarts(job) > 3, await fleet.findState(job)]).toEqual([true, JobState.Completed]);
  }

  /** Ends the member on the host of the first one by a drain, and the others with it. */
  async function drainFirst(job: string): Promise<void> {
    const first = fleet.listHosts().find((host) => host.hasRun(`${job}.0.0.0`));
    fleet.drainHost(first?.id ?? '');
    for (let waits = 0; waits < 600 && first?.hasRun(`${job}.0.0.0`) === true; waits += 1) {
      await fleet.time.advance(10);
    }
    expect(first?.hasRun(`${job}.0.0.0`)).toEqual(false);
    fleet.endGangMembers(`${job}.0.0.0`);
  }

  afterEach(() => fleet.close());

  // Each guards against UNASKED: members that go on from different states of the same work.
  it('resume from one checkpoint after one member was stopped', async () => {
    await start();
    const job = fleet.submit([GANG]);
    await fleet.time.advance(2_750);
    await drainFirst(job);
    await expectCompleted(job);
  });

  it('resume from one checkpoint after the host of one member crashed', async () => {
    await start();
    const job = fleet.submit([GANG]);
    await fleet.time.advance(2_750);
    const host = fleet.listHosts().find((other) => other.hasRun(`${job}.0.0.1`));
    fleet.crashHosts([host?.id ?? '']);
    fleet.endGangMembers(`${job}.0.0.1`);
    await expectCompleted(job);
  });

  it('resume from one checkpoint after their owner was lost as well', async () => {
    await start();
    const job = fleet.submit([GANG]);
    await fleet.time.advance(2_750);
    fleet.killDaemon(fleet.findOwner() ?? '');
    await drainFirst(job);
    await expectCompleted(job);
  });

  it('resume from one checkpoint although an order to start a member is repeated', async () => {
    await start();
    const job = fleet.submit([GANG]);
    await fleet.time.advance(2_750);
    fleet.listHosts().forEach(({ id }, index) => {
      if (index % 2 === 0) {
        fleet.faults.lostOrders.add(formatAnswer(OrderKind.Start, id));
      }
    });
    await drainFirst(job);
    await fleet.time.advance(300);
    fleet.faults.lostOrders.clear();
    await expectCompleted(job);
  });
});
