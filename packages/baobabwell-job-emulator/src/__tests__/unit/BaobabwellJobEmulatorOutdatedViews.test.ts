import type { TableFaults } from '../../index';
import type { JobRecord } from '@baobabwell/jobs';
import type { JsonValue } from '@baobabwell/platform';

import { expect } from 'earl';

import { getJobPartition, JOBS_TABLE } from '@baobabwell/ingress';
import { JobState } from '@baobabwell/jobs';

import {
  CANCEL_MS,
  CANCELLED_RUN_MS,
  EmulatedJobFleet,
  formatAnswer,
  NO_STORE_FAULTS,
  NO_TABLE_FAULTS,
  OrderKind,
} from '../../index';

const SEED = 11;
const START_MS = 1_500;
const HOST = 'host-0';
const WORKERS_TABLE = 'workers';

/** Time after which a task may no longer start on a host that reported to drain, in ms. */
const DRAIN_MS = 2_000;

/** A task that fills a host. */
const WIDE = { taskCount: 1, need: { cpuMillis: 16_000, memoryMb: 1_000, gpus: 0 } };

describe('outdated views and late answers on the emulated fleet', () => {
  let fleet: EmulatedJobFleet;

  async function start(hostCount: number): Promise<void> {
    fleet = new EmulatedJobFleet(SEED, hostCount);
    fleet.startDaemon('a');
    await fleet.time.advance(START_MS);
  }

  function setFaults(name: string, table: string, faults: Partial<TableFaults>): void {
    fleet.setTableFaults(name, table, { ...NO_TABLE_FAULTS, ...faults });
  }

  function listLogLines(event: string, text: string): readonly string[] {
    return fleet.logLines.filter((line) => line.includes(event) && line.includes(text));
  }

  function countRuns(): number {
    return fleet.listHosts().reduce((count, host) => count + host.countRuns(), 0);
  }

  /** Has a host report that it drains. */
  function drain(id: string): void {
    const row = fleet.rows.list({ table: WORKERS_TABLE }).find(({ key }) => key === id);
    const value = { ...(row?.value as Record<string, JsonValue>), isDraining: true };
    fleet.rows.apply({ conditions: [], writes: [{ table: WORKERS_TABLE, key: id, value }] });
  }

  function listOverdueRuns(): readonly string[] {
    return fleet.oracle.cancellations.listOverdueRuns(fleet.time.getNow());
  }

  afterEach(() => fleet.close());

  it('starts no task by a view that was old before the store stopped answering', async () => {
    fleet = new EmulatedJobFleet(SEED, 1);
    const cancelled = fleet.submit([{}]);
    fleet.startDaemon('a');
    setFaults('a', JOBS_TABLE, { listAnswerMs: 1_300, hasSilentWatches: true });
    await fleet.time.advance(1_000);
    fleet.cancel(cancelled);
    await fleet.time.advance(7_000);
    expect(listLogLines('term-loaded', '').length).toEqual(1);
    expect(listLogLines('start-ordered', cancelled)).toEqual([]);
    fleet.rows.faults = { ...NO_STORE_FAULTS, isDown: true };
    await fleet.time.advance(4_000);
    expect(listLogLines('start-ordered', cancelled)).toEqual([]);
    expect(fleet.oracle.violations).toEqual([]);
  });

  it('starts no task of a cancelled job while the successor of a partitioned owner loads', async () => {
    await start(1);
    fleet.startDaemon('b');
    setFaults('b', JOBS_TABLE, { listAnswerMs: 1_300 });
    fleet.submit([{ ...WIDE, estimateMs: 5_000 }]);
    await fleet.time.advance(200);
    const waiting = fleet.submit([WIDE]);
    await fleet.time.advance(800);
    fleet.partitionDaemon('a', true);
    await fleet.time.advance(100);
    fleet.cancel(waiting);
    await fleet.time.advance(6_000);
    expect(listLogLines('start-ordered', waiting)).toEqual([]);
    expect(fleet.oracle.violations).toEqual([]);
  });

  it('starts no task of a cancelled job while the owner reaches neither the store nor its peers', async () => {
    await start(1);
    fleet.startDaemon('b');
    setFaults('b', JOBS_TABLE, { listAnswerMs: 1_300 });
    fleet.submit([{ ...WIDE, estimateMs: 5_000 }]);
    await fleet.time.advance(200);
    const waiting = fleet.submit([WIDE]);
    await fleet.time.advance(800);
    fleet.partitionDaemon('a', true);
    fleet.processesWithoutPeers.add('a');
    await fleet.time.advance(100);
    fleet.cancel(waiting);
    await fleet.time.advance(6_000);
    expect(listLogLines('start-ordered', waiting)).toEqual([]);
    expect(fleet.oracle.violations).toEqual([]);
  });

  it('starts accepted tasks while the store answers nobody', async () => {
    await start(1);
    fleet.startDaemon('b');
    fleet.submit([{ ...WIDE, estimateMs: 5_000 }]);
    await fleet.time.advance(200);
    const waiting = fleet.submit([WIDE]);
    await fleet.time.advance(800);
    fleet.rows.faults = { ...NO_STORE_FAULTS, isDown: true };
    await fleet.time.advance(4_200);
    expect(listLogLines('start-ordered', waiting).length).toEqual(1);
    expect(fleet.oracle.violations).toEqual([]);
  });

  [
    { moment: 'before', startCount: 0 },
    { moment: 'after', startCount: 1 },
  ].forEach(({ moment, startCount }) => {
    it(`stops a late start on a host that was listed again after its row was removed (the host receives the stop ${moment} the start)`, async () => {
      await start(1);
      await fleet.time.advance(10_000);
      fleet.faults.lateOrdersMs.set(formatAnswer(OrderKind.Start, HOST), 10_000);
      fleet.faults.lostOrders.add(formatAnswer(OrderKind.Stop, HOST));
      const job = fleet.submit([{ taskCount: 1, estimateMs: 20_000 }]);
      await fleet.time.advance(200);
      expect(listLogLines('start-ordered', job).length).toEqual(1);
      fleet.cancel(job);
      await fleet.time.advance(100);
      fleet.killHost(HOST);
      await fleet.time.advance(6_500);
      expect(listLogLines('host-unlisted', HOST).length).toEqual(1);
      if (moment === 'before') {
        fleet.faults.lostOrders.clear();
      }
      fleet.startHost(HOST);
      await fleet.time.advance(1_000);
      fleet.faults.lateOrdersMs.clear();
      expect(listLogLines('host-listed', HOST).length).toEqual(2);
      await fleet.time.advance(2_500);
      // The order is carried out 10 s after it was sent, unless the host was told to stop the run before.
      expect([fleet.oracle.startCount, countRuns()]).toEqual([startCount, startCount]);
      fleet.faults.lostOrders.clear();
      await fleet.time.advance(CANCEL_MS + CANCELLED_RUN_MS);
      expect([listOverdueRuns(), countRuns()]).toEqual([[], 0]);
    });
  });

  it('repeats the order to stop a run when the former incarnation of its host answers late', async () => {
    await start(1);
    await fleet.time.advance(10_000);
    fleet.faults.lateOrdersMs.set(formatAnswer(OrderKind.Start, HOST), 3_000);
    const job = fleet.submit([{ taskCount: 1, estimateMs: 20_000 }]);
    await fleet.time.advance(200);
    expect(listLogLines('start-ordered', job).length).toEqual(1);
    // The former incarnation receives the order to stop the run and ends before its answer arrives.
    fleet.faults.lateAnswersMs.set(formatAnswer(OrderKind.Stop, HOST), 300);
    fleet.cancel(job);
    await fleet.time.advance(100);
    fleet.faults.lostOrders.add(formatAnswer(OrderKind.Stop, HOST));
    fleet.startHost(HOST);
    await fleet.time.advance(100);
    expect(listLogLines('host-reborn', HOST).length).toEqual(1);
    await fleet.time.advance(400);
    fleet.faults.lateOrdersMs.clear();
    fleet.faults.lateAnswersMs.clear();
    await fleet.time.advance(600);
    fleet.faults.lostOrders.clear();
    await fleet.time.advance(2_500 + CANCEL_MS + CANCELLED_RUN_MS);
    expect([listOverdueRuns(), countRuns()]).toEqual([[], 0]);
  });

  it('runs a task once when the former incarnation of its host answers its start late', async () => {
    await start(2);
    await fleet.time.advance(10_000);
    const ids = fleet.listHosts().map(({ id }) => id);
    ids.forEach((id) => fleet.faults.lateOrdersMs.set(formatAnswer(OrderKind.Start, id), 6_000));
    fleet.submit([{ taskCount: 1, estimateMs: 20_000 }]);
    await fleet.time.advance(300);
    const chosen = ids.find((id) => listLogLines('start-ordered', `host=${id}`).length > 0) ?? '';
    // The second attempt is answered by the former incarnation, after the new one is known.
    fleet.faults.lateOrdersMs.clear();
    fleet.faults.lateAnswersMs.set(formatAnswer(OrderKind.Start, chosen), 400);
    await fleet.time.advance(200);
    expect(countRuns()).toEqual(1);
    fleet.faults.lostOrders.add(formatAnswer(OrderKind.Stop, chosen));
    fleet.startHost(chosen);
    await fleet.time.advance(100);
    expect(listLogLines('host-reborn', chosen).length).toEqual(1);
    drain(chosen);
    await fleet.time.advance(1_500);
    fleet.faults.lateAnswersMs.clear();
    fleet.faults.lostOrders.clear();
    await fleet.time.advance(6_000);
    expect([countRuns(), fleet.oracle.violations]).toEqual([1, []]);
  });

  it('restarts a long running task while only the watch of the owner gets no answer', async () => {
    await start(2);
    fleet.startDaemon('b');
    const job = fleet.submit([{ taskCount: 1, isLasting: true, estimateMs: 0 }]);
    await fleet.time.advance(1_000);
    expect(countRuns()).toEqual(1);
    setFaults('a', JOBS_TABLE, { hasSilentWatches: true });
    await fleet.time.advance(5_000);
    const host = fleet.listHosts().find((candidate) => candidate.countRuns() > 0);
    fleet.killHost(host?.id ?? '');
    await fleet.time.advance(40_000);
    expect(fleet.findOwner()).not.toEqual(null);
    expect([countRuns(), listLogLines('start-ordered', job).length]).toEqual([1, 2]);
  });

  it('starts no task on a host that has drained for seconds while the owner does not see it', async () => {
    await start(1);
    setFaults('a', WORKERS_TABLE, { hasSilentWatches: true });
    drain(HOST);
    await fleet.time.advance(DRAIN_MS + 3_000);
    fleet.submit([{}]);
    await fleet.time.advance(1_000);
    expect(fleet.oracle.startCount).toEqual(0);
  });

  it('keeps a cancellation by a process whose clock is behind until its job is stored', async () => {
    await start(1);
    // The cancellation has an old time, as of a process whose clock is behind.
    await fleet.time.advance(18_000);
    const job = fleet.submit([{ taskCount: 1, estimateMs: 20_000 }], { rowLagMs: 3_000 });
    fleet.cancel(job);
    await fleet.time.advance(3_000 + CANCEL_MS + CANCELLED_RUN_MS);
    expect(listOverdueRuns()).toEqual([]);
  });

  it('does not run an ended job again that a process whose clock was ahead accepted', async () => {
    await start(1);
    const id = 'f'.repeat(16);
    const template = fleet.submit([{ taskCount: 1 }]);
    const record: JobRecord = {
      ...(fleet.oracle.jobs.get(template) as JobRecord),
      id,
      acceptedAtMs: fleet.time.getWallTime() + 120_000,
    };
    fleet.oracle.jobs.set(id, record);
    const part = getJobPartition(id);
    fleet.rows.apply({
      conditions: [],
      writes: [{ table: JOBS_TABLE, part, key: id, value: record as unknown as JsonValue }],
    });
    await fleet.time.advance(5_000);
    expect(fleet.oracle.startCount).toEqual(2);
    await fleet.time.advance(205_000);
    fleet.submit([{ taskCount: 1 }]);
    await fleet.time.advance(2_000);
    fleet.rows.compactHistory();
    fleet.rows.apply({ conditions: [], writes: [{ table: 'other', key: 'x', value: 1 }] });
    fleet.rows.compactHistory();
    await fleet.time.advance(5_000);
    expect([fleet.oracle.startCount, fleet.oracle.violations]).toEqual([3, []]);
  });

  it('runs no task of a job if the watch skipped both the job and its cancellation', async () => {
    await start(1);
    setFaults('a', JOBS_TABLE, { hasEmptyChanges: true });
    const job = fleet.submit([{}]);
    await fleet.time.advance(100);
    fleet.cancel(job);
    await fleet.time.advance(100);
    setFaults('a', JOBS_TABLE, {});
    await fleet.time.advance(CANCEL_MS);
    fleet.rows.compactHistory();
    await fleet.time.advance(1_000);
    fleet.submit([{}]);
    fleet.rows.compactHistory();
    await fleet.time.advance(CANCEL_MS);
    expect(listLogLines('store-history-gone', 'table=jobs').length > 0).toEqual(true);
    expect(listLogLines('start-ordered', job)).toEqual([]);
    expect(fleet.oracle.violations).toEqual([]);
  });

  it('starts no task on a draining host by a read that is behind, after the history was compacted', async () => {
    await start(1);
    fleet.rows.delayReads();
    fleet.drainHost(HOST);
    await fleet.time.advance(500);
    fleet.rows.compactHistory();
    await fleet.time.advance(DRAIN_MS);
    const job = fleet.submit([{ taskCount: 1 }]);
    await fleet.time.advance(2_000);
    expect(listLogLines('start-ordered', job)).toEqual([]);
    fleet.rows.releaseReads();
    await fleet.time.advance(2_000);
    expect(fleet.oracle.violations).toEqual([]);
    expect(listLogLines('store-read-behind', 'table=workers').length).toBeGreaterThan(0);
  });

  it('loads no term from reads that are behind its takeover', async () => {
    await start(2);
    fleet.rows.delayReads();
    const job = fleet.submit([{ taskCount: 4 }]);
    await fleet.time.advance(1_000);
    fleet.killDaemon('a');
    fleet.startDaemon('b');
    await fleet.time.advance(6_000);
    fleet.rows.releaseReads();
    await fleet.time.advance(6_000);
    expect(fleet.oracle.violations).toEqual([]);
    expect(await fleet.findState(job)).toEqual(JobState.Completed);
    expect(listLogLines('start-ordered', job).length).toEqual(4);
  });
});
