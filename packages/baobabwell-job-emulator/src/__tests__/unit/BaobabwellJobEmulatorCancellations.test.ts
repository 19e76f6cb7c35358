import type { EmulatedHost, TableFaults } from '../../index';

import { expect } from 'earl';

import { JOBS_TABLE } from '@baobabwell/ingress';
import { JobState } from '@baobabwell/jobs';

import {
  CANCEL_MS,
  CANCELLED_RUN_MS,
  EmulatedJobFleet,
  formatAnswer,
  NO_TABLE_FAULTS,
  OrderKind,
} from '../../index';

const SEED = 11;
const START_MS = 1_500;

/** Time after a fault within which all jobs have ended, in ms. */
const RECOVERY_MS = 15_000;

/** A task that fills a host. */
const WIDE = { taskCount: 1, need: { cpuMillis: 16_000, memoryMb: 1_000, gpus: 0 } };

describe('cancellations on the emulated fleet', () => {
  let fleet: EmulatedJobFleet;

  async function start(hostCount: number): Promise<void> {
    fleet = new EmulatedJobFleet(SEED, hostCount);
    fleet.startDaemon('a');
    await fleet.time.advance(START_MS);
  }

  function setJobFaults(faults: Partial<TableFaults>): void {
    fleet.setTableFaults('a', JOBS_TABLE, { ...NO_TABLE_FAULTS, ...faults });
  }

  function listLogLines(event: string, text: string): readonly string[] {
    return fleet.logLines.filter((line) => line.includes(event) && line.includes(text));
  }

  /** Records the tasks of the orders to start a run that reach a host from now on. */
  function recordStartOrders(host: EmulatedHost): readonly string[] {
    const recorded = host;
    const accept = host.start.bind(host);
    const tasks: string[] = [];
    recorded.start = (order, isLate) => {
      tasks.push(order.task);
      return accept(order, isLate);
    };
    return tasks;
  }

  function listOverdueRuns(): readonly string[] {
    return fleet.oracle.cancellations.listOverdueRuns(fleet.time.getNow());
  }

  async function expectCompleted(jobId: string): Promise<void> {
    expect(fleet.oracle.violations).toEqual([]);
    expect(await fleet.findState(jobId)).toEqual(JobState.Completed);
  }

  afterEach(() => fleet.close());

  it('starts no task of a job that was cancelled while a slow owner loaded its term', async () => {
    fleet = new EmulatedJobFleet(SEED, 1);
    const cancelled = fleet.submit([{}]);
    const other = fleet.submit([{}]);
    fleet.startDaemon('a');
    // The owner reads 32 partitions, eight at a time, in 5.2 s, and those of both jobs first.
    setJobFaults({ listAnswerMs: 1_300, hasSilentWatches: true });
    await fleet.time.advance(1_000);
    fleet.cancel(cancelled);
    await fleet.time.advance(CANCEL_MS);
    expect(listLogLines('term-loaded', '')).toEqual([]);
    await fleet.time.advance(5_000);
    expect(listLogLines('term-loaded', '').length).toEqual(1);
    setJobFaults({});
    await fleet.time.advance(RECOVERY_MS);
    await expectCompleted(other);
    expect(listLogLines('start-ordered', cancelled)).toEqual([]);
  });

  it('starts no task by a view of the store that is seconds old', async () => {
    await start(1);
    const running = fleet.submit([{ ...WIDE, estimateMs: 5_000 }]);
    await fleet.time.advance(200);
    const waiting = fleet.submit([WIDE]);
    await fleet.time.advance(800);
    setJobFaults({ hasSilentWatches: true });
    await fleet.time.advance(500);
    fleet.cancel(waiting);
    await fleet.time.advance(CANCEL_MS + 500);
    expect(fleet.oracle.startCount).toEqual(1);
    // The running task ends, and its end is stored, 3.5 s after the cancellation.
    await fleet.time.advance(2_000);
    expect(await fleet.findState(running)).toEqual(JobState.Completed);
    setJobFaults({});
    const next = fleet.submit([WIDE]);
    await fleet.time.advance(RECOVERY_MS);
    await expectCompleted(next);
    expect(fleet.oracle.startCount).toEqual(2);
  });

  it('sends no further start of a run whose job was cancelled', async () => {
    await start(1);
    const startOrders = recordStartOrders(fleet.listHosts()[0] as EmulatedHost);
    fleet.faults.lostOrders.add(formatAnswer(OrderKind.Start, 'host-0'));
    fleet.faults.lostOrders.add(formatAnswer(OrderKind.Stop, 'host-0'));
    const job = fleet.submit([{ taskCount: 1, estimateMs: 9_000 }]);
    await fleet.time.advance(200);
    expect(listLogLines('start-ordered', job).length).toEqual(1);
    fleet.cancel(job);
    await fleet.time.advance(50);
    expect(listLogLines('job-cancelled', job).length).toEqual(1);
    fleet.faults.lostOrders.delete(formatAnswer(OrderKind.Start, 'host-0'));
    await fleet.time.advance(2_000);
    fleet.faults.lostOrders.clear();
    await fleet.time.advance(RECOVERY_MS);
    expect(startOrders).toEqual([]);
    expect(fleet.oracle.violations).toEqual([]);
  });

  it('stops a run of a job that was cancelled before it was stored', async () => {
    await start(1);
    const job = fleet.submit([{ taskCount: 1, estimateMs: 20_000 }], 1_000);
    fleet.cancel(job);
    await fleet.time.advance(1_000 + CANCEL_MS + CANCELLED_RUN_MS);
    expect(listOverdueRuns()).toEqual([]);
    expect(await fleet.findState(job)).toEqual(JobState.Cancelled);
    expect(fleet.oracle.violations).toEqual([]);
  });

  it('stops a run of a job that was cancelled in an earlier term and stored in this one', async () => {
    fleet = new EmulatedJobFleet(SEED, 1);
    const job = fleet.submit([{ taskCount: 1, estimateMs: 20_000 }], 2_000);
    fleet.cancel(job);
    fleet.startDaemon('a');
    await fleet.time.advance(1_500);
    expect(listLogLines('term-loaded', '').length).toEqual(1);
    await fleet.time.advance(500 + CANCEL_MS + CANCELLED_RUN_MS);
    expect(listOverdueRuns()).toEqual([]);
    expect(await fleet.findState(job)).toEqual(JobState.Cancelled);
    expect(fleet.oracle.violations).toEqual([]);
  });

  it('runs no task of a cancelled job that was stored after its cancellation, under the next owner', async () => {
    await start(1);
    const running = fleet.submit([{ ...WIDE, estimateMs: 8_000 }]);
    await fleet.time.advance(500);
    const job = fleet.submit([WIDE], 500);
    fleet.cancel(job);
    await fleet.time.advance(1_000);
    fleet.startDaemon('b');
    fleet.killDaemon('a');
    await fleet.time.advance(RECOVERY_MS);
    await expectCompleted(running);
    expect(await fleet.findState(job)).toEqual(JobState.Cancelled);
    expect(listLogLines('start-ordered', job)).toEqual([]);
  });

  it('stops a run that a new incarnation of a host started late', async () => {
    await start(1);
    await fleet.time.advance(10_000);
    fleet.faults.lateOrdersMs.set(formatAnswer(OrderKind.Start, 'host-0'), 7_000);
    fleet.faults.lostOrders.add(formatAnswer(OrderKind.Stop, 'host-0'));
    const job = fleet.submit([{ taskCount: 1, estimateMs: 20_000 }]);
    await fleet.time.advance(200);
    expect(listLogLines('start-ordered', job).length).toEqual(1);
    fleet.cancel(job);
    await fleet.time.advance(100);
    fleet.faults.partitionedHosts.add('host-0');
    await fleet.time.advance(4_700);
    expect(listLogLines('run-lost', job).length).toEqual(1);
    const host = fleet.startHost('host-0');
    const lateStarts = recordStartOrders(host);
    fleet.faults.partitionedHosts.clear();
    // The first orders to the new incarnation are lost.
    await fleet.time.advance(1_000);
    fleet.faults.lostOrders.clear();
    fleet.faults.lateOrdersMs.clear();
    expect(lateStarts).toEqual([]);
    await fleet.time.advance(1_100);
    expect(lateStarts.length).toEqual(1);
    await fleet.time.advance(CANCEL_MS + CANCELLED_RUN_MS);
    expect(listOverdueRuns()).toEqual([]);
    expect(host.countRuns()).toEqual(0);
  });

  it('applies a cancellation that the watch skipped', async () => {
    await start(2);
    const cancelled = fleet.submit([{ taskCount: 2, isLasting: true, estimateMs: 0 }]);
    await fleet.time.advance(1_000);
    setJobFaults({ hasEmptyChanges: true });
    fleet.cancel(cancelled);
    const stored = fleet.submit([{}]);
    await fleet.time.advance(100);
    setJobFaults({});
    await fleet.time.advance(500);
    fleet.rows.compactHistory();
    await fleet.time.advance(CANCEL_MS + CANCELLED_RUN_MS);
    expect(listLogLines('store-history-gone', 'table=jobs').length).toEqual(1);
    expect(listOverdueRuns()).toEqual([]);
    expect(await fleet.findState(cancelled)).toEqual(JobState.Cancelled);
    await expectCompleted(stored);
  });
});
