import { expect } from 'earl';

import { JobState } from '@baobabwell/jobs';

import { EmulatedJobFleet, formatAnswer, OrderKind } from '../../index';

const SEED = 7;
const START_MS = 2_000;
const HOST = 'host-0';

const LASTING = { isLasting: true, estimateMs: 0, taskCount: 1 };

describe('stops on the emulated fleet', () => {
  let fleet: EmulatedJobFleet;

  function countRuns(): number {
    return fleet.listHosts().reduce((count, host) => count + host.countRuns(), 0);
  }

  beforeEach(async () => {
    fleet = new EmulatedJobFleet(SEED, 1);
    fleet.startDaemon('a');
    await fleet.time.advance(START_MS);
  });

  afterEach(() => fleet.close());

  it('repeats an unanswered order to stop a run whose start is answered after it', async () => {
    fleet.faults.lateAnswersMs.set(formatAnswer(OrderKind.Start, HOST), 600);
    fleet.faults.lostOrders.add(formatAnswer(OrderKind.Stop, HOST));
    const job = fleet.submit([LASTING]);
    await fleet.time.advance(100);
    fleet.cancel(job);
    await fleet.time.advance(300);
    // Two attempts to stop are lost, and the start is answered between them.
    await fleet.time.advance(400);
    fleet.faults.lostOrders.clear();
    await fleet.time.advance(3_000);
    expect(countRuns()).toEqual(0);
  });

  it('repeats an unanswered order to stop a run while orders to renew leases get lost', async () => {
    const job = fleet.submit([LASTING]);
    await fleet.time.advance(500);
    fleet.faults.lostOrders.add(formatAnswer(OrderKind.Hold, HOST));
    await fleet.time.advance(1_000);
    fleet.faults.lostOrders.add(formatAnswer(OrderKind.Stop, HOST));
    fleet.cancel(job);
    await fleet.time.advance(300);
    fleet.faults.lostOrders.delete(formatAnswer(OrderKind.Stop, HOST));
    // The lease of the host has not expired yet.
    await fleet.time.advance(800);
    expect(countRuns()).toEqual(0);
  });

  it('keeps a run whose start was carried out although no attempt was answered', async () => {
    fleet.faults.lateOrdersMs.set(formatAnswer(OrderKind.Start, HOST), 1);
    const job = fleet.submit([{ taskCount: 1, estimateMs: 3_000 }]);
    await fleet.time.advance(5_000);
    expect(await fleet.findState(job)).toEqual(JobState.Completed);
    expect(fleet.oracle.startCount).toEqual(1);
  });
});
