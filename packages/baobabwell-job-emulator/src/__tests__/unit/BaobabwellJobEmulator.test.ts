import type { EmulatedHost } from '../../index';

import { expect } from 'earl';

import { JobState } from '@baobabwell/jobs';
import { OWNERSHIP_TABLE } from '@baobabwell/ownership';
import { OrderRefusal } from '@baobabwell/platform';
import { createError } from '@baobabwell/utils';

import { EmulatedJobFleet, formatRoute, NO_STORE_FAULTS } from '../../index';

const SEED = 7;
const START_MS = 1_500;
const TASK_MS = 500;

/** Time after which an owner no longer retains an ended job, in ms. */
const JOB_RETENTION_MS = 220_000;

describe('jobs on the emulated fleet', () => {
  let fleet: EmulatedJobFleet;

  async function start(hostCount: number): Promise<void> {
    fleet = new EmulatedJobFleet(SEED, hostCount);
    ['a', 'b', 'c'].forEach((name) => fleet.startDaemon(name));
    await fleet.time.advance(START_MS);
  }

  async function expectCompleted(jobIds: readonly string[]): Promise<void> {
    const states = await Promise.all(jobIds.map(async (id) => fleet.findState(id)));
    expect(states).toEqual(jobIds.map(() => JobState.Completed));
    expect(fleet.oracle.violations).toEqual([]);
  }

  afterEach(() => fleet.close());

  it('runs steps in order and reports completion only once it is persisted', async () => {
    await start(3);
    const job = fleet.submit([{}, { after: [0] }, { after: [1], taskCount: 9 }]);
    await fleet.time.advance(TASK_MS + 300);
    expect(await fleet.findState(job)).toEqual(JobState.Running);
    await fleet.time.advance(2 * TASK_MS + 400);
    await expectCompleted([job]);
  });

  it('keeps an organisation within its cap while more of its tasks wait', async () => {
    await start(4);
    const jobs = Array.from({ length: 12 }, () => fleet.submit([{ taskCount: 6 }]));
    await fleet.time.advance(8_000);
    await expectCompleted(jobs);
  });

  it('restarts the tasks of an unreachable host elsewhere, but only after its lease expired', async () => {
    await start(2);
    const job = fleet.submit([{ taskCount: 8, estimateMs: 2_500 }]);
    await fleet.time.advance(400);
    fleet.faults.partitionedHosts.add('host-0');
    await fleet.time.advance(2_000);
    expect(fleet.oracle.startCount).toEqual(8);
    await fleet.time.advance(9_000);
    expect(fleet.oracle.startCount > 8).toEqual(true);
    await expectCompleted([job]);
  });

  it('starts no task twice when orders are carried out late', async () => {
    await start(4);
    fleet.faults.delayedFraction = 0.3;
    const jobs = Array.from({ length: 10 }, () => fleet.submit([{}, { after: [0] }]));
    await fleet.time.advance(20_000);
    fleet.faults.delayedFraction = 0;
    await fleet.time.advance(10_000);
    await expectCompleted(jobs);
  });

  it('runs no task twice while hosts restart under their ids', async () => {
    await start(3);
    fleet.faults.delayedFraction = 0.5;
    const jobs = Array.from({ length: 6 }, () => fleet.submit([{ estimateMs: 1_500 }]));
    for (let round = 0; round < 6; round += 1) {
      await fleet.time.advance(700);
      fleet.startHost(`host-${round % 3}`);
    }
    fleet.faults.delayedFraction = 0;
    await fleet.time.advance(20_000);
    await expectCompleted(jobs);
  });

  it('recovers when a host is lost after reporting an end that is not yet persisted', async () => {
    await start(1);
    const job = fleet.submit([{ taskCount: 3, estimateMs: 673 }, { after: [0] }]);
    // The host has reported the first end and is replaced before the end is acknowledged as stored.
    await fleet.time.advance(683);
    fleet.startHost('host-0');
    await fleet.time.advance(6_000);
    expect(fleet.oracle.startCount > 7).toEqual(true);
    await expectCompleted([job]);
  });

  it('keeps tasks running under the next owner when the owner is killed', async () => {
    await start(3);
    const jobs = Array.from({ length: 5 }, () => fleet.submit([{ estimateMs: 4_000 }]));
    await fleet.time.advance(500);
    fleet.killDaemon(fleet.findOwner() as string);
    await fleet.time.advance(12_000);
    expect(fleet.oracle.startCount).toEqual(20);
    await expectCompleted(jobs);
  });

  it('resumes ownership at once when the process of the owner restarts', async () => {
    await start(3);
    const owner = fleet.findOwner() as string;
    fleet.killDaemon(owner);
    fleet.startDaemon(owner);
    await fleet.time.advance(500);
    expect(fleet.findOwner()).toEqual(owner);
  });

  it('fences a paused owner after another process took over', async () => {
    await start(3);
    const jobs = Array.from({ length: 8 }, () =>
      fleet.submit([{ estimateMs: 900 }, { after: [0] }]),
    );
    await fleet.time.advance(300);
    const owner = fleet.findOwner() as string;
    fleet.pauseDaemon(owner);
    await fleet.time.advance(5_000);
    fleet.resumeDaemon(owner);
    await fleet.time.advance(10_000);
    await expectCompleted(jobs);
  });

  it('continues after an outage of the store and loses no accepted job', async () => {
    await start(3);
    const jobs = Array.from({ length: 6 }, () => fleet.submit([{}, { after: [0] }]));
    await fleet.time.advance(200);
    fleet.rows.faults = { ...NO_STORE_FAULTS, isDown: true };
    await fleet.time.advance(4_500);
    fleet.rows.faults = NO_STORE_FAULTS;
    await fleet.time.advance(6_000);
    await expectCompleted(jobs);
  });

  it('starts steps of already loaded jobs while the store is down for all processes', async () => {
    await start(3);
    const job = fleet.submit([
      { taskCount: 1, estimateMs: 2_900 },
      { after: [0], taskCount: 4 },
    ]);
    await fleet.time.advance(600);
    fleet.rows.faults = { ...NO_STORE_FAULTS, isDown: true };
    await fleet.time.advance(3_500);
    expect(fleet.oracle.startCount).toEqual(5);
    fleet.rows.faults = NO_STORE_FAULTS;
    await fleet.time.advance(1_500);
    await expectCompleted([job]);
  });

  it('starts no job accepted after the last renewal, and stops starting tasks in a long outage', async () => {
    await start(3);
    const owner = fleet.findOwner() as string;
    const submittedBefore = fleet.submit([{ taskCount: 1, estimateMs: 6_800 }, { after: [0] }]);
    await fleet.time.advance(1_000);
    fleet.rows.faults = { ...NO_STORE_FAULTS, isDown: true };
    const submittedAfter = fleet.submit([{ taskCount: 1 }]);
    await fleet.time.advance(6_500);
    expect(fleet.oracle.startCount).toEqual(1);
    fleet.rows.faults = NO_STORE_FAULTS;
    await fleet.time.advance(6_000);
    expect(fleet.findOwner()).toEqual(owner);
    await expectCompleted([submittedBefore, submittedAfter]);
  });

  it('runs no task twice when only the owner loses the store and the next cannot reach a host', async () => {
    await start(3);
    const owner = fleet.findOwner() as string;
    const jobs = Array.from({ length: 6 }, () =>
      fleet.submit([
        { taskCount: 2, estimateMs: 900 },
        { after: [0], taskCount: 2 },
        { after: [1] },
      ]),
    );
    await fleet.time.advance(300);
    fleet.partitionDaemon(owner, true);
    ['a', 'b', 'c']
      .filter((name) => name !== owner)
      .forEach((name) => fleet.faults.partitionedRoutes.add(formatRoute(name, 'host-0')));
    await fleet.time.advance(9_000);
    fleet.faults.partitionedRoutes.clear();
    fleet.partitionDaemon(owner, false);
    await fleet.time.advance(12_000);
    await expectCompleted(jobs);
  });

  it('runs no task twice when a former owner keeps a host that the next cannot reach', async () => {
    await start(3);
    const owner = fleet.findOwner() as string;
    const job = fleet.submit([{ taskCount: 12, estimateMs: 25_000 }]);
    await fleet.time.advance(1_000);
    fleet.partitionDaemon(owner, true);
    ['a', 'b', 'c'].forEach((name) =>
      (name === owner ? ['host-1', 'host-2'] : ['host-0']).forEach((host) =>
        fleet.faults.partitionedRoutes.add(formatRoute(name, host)),
      ),
    );
    await fleet.time.advance(12_000);
    fleet.faults.partitionedRoutes.clear();
    fleet.partitionDaemon(owner, false);
    await fleet.time.advance(40_000);
    await expectCompleted([job]);
  });

  it('repeats no start of a term that has ended while the same process is in its next one', async () => {
    fleet = new EmulatedJobFleet(SEED, 1);
    fleet.startDaemon('a');
    await fleet.time.advance(START_MS);
    const context = fleet.findOwnerContext();
    const { epoch } = context?.term ?? { epoch: 0 };
    const [host] = fleet.listHosts() as [EmulatedHost];
    const start = host.start.bind(host);
    const epochs: number[] = [];
    host.start = (order) => {
      epochs.push(order.epoch);
      return start(order);
    };
    fleet.faults.partitionedHosts.add('host-0');
    const job = fleet.submit([{ taskCount: 1 }]);
    await fleet.time.advance(100);
    context?.ownership.endTerm('of this test');
    // Wakes the process, which takes over from itself.
    fleet.rows.apply({
      conditions: [],
      writes: [{ table: OWNERSHIP_TABLE, key: 'wake', value: 1 }],
    });
    await fleet.time.advance(200);
    expect(fleet.findOwnerContext()?.term.epoch).toEqual(epoch + 1);
    fleet.faults.partitionedHosts.clear();
    await fleet.time.advance(15_000);
    expect(epochs).toEqual([epoch + 1]);
    await expectCompleted([job]);
  });

  it('persists every end although the store loses answers and applies writes late', async () => {
    await start(3);
    fleet.rows.faults = { ...NO_STORE_FAULTS, lostFraction: 0.3 };
    const jobs = Array.from({ length: 8 }, () => fleet.submit([{}, { after: [0] }]));
    await fleet.time.advance(15_000);
    fleet.rows.faults = NO_STORE_FAULTS;
    await fleet.time.advance(8_000);
    await expectCompleted(jobs);
  });

  it('does not repeat the order to start a run that was given up meanwhile', async () => {
    await start(1);
    const running = fleet.submit([{ taskCount: 1, estimateMs: 9_000 }]);
    await fleet.time.advance(300);
    const host = fleet.listHosts()[0] as EmulatedHost;
    const accept = host.start.bind(host);
    const lost = createError({ kind: OrderRefusal.Unanswered, clockMs: null, cause: 'lost' });
    // The first order is lost, and its sender learns of it after the lease has expired.
    host.start = (async () => {
      host.start = accept;
      await fleet.time.wait(4_000);
      return lost;
    }) as unknown as typeof host.start;
    const job = fleet.submit([{ taskCount: 1, estimateMs: 5_000 }]);
    await fleet.time.advance(100);
    fleet.startHost('host-1');
    fleet.faults.partitionedHosts.add('host-0');
    await fleet.time.advance(3_500);
    fleet.faults.partitionedHosts.clear();
    await fleet.time.advance(25_000);
    await expectCompleted([running, job]);
  });

  it('starts no task again whose end does not fit into the first report to a new owner', async () => {
    await start(1);
    const need = { cpuMillis: 10, memoryMb: 1, gpus: 0 };
    const job = fleet.submit([{ taskCount: 600, need }]);
    await fleet.time.advance(400);
    fleet.rows.faults = { ...NO_STORE_FAULTS, isDown: true };
    await fleet.time.advance(600);
    fleet.killDaemon(fleet.findOwner() as string);
    fleet.rows.faults = NO_STORE_FAULTS;
    await fleet.time.advance(10_000);
    expect(fleet.oracle.startCount).toEqual(600);
    await expectCompleted([job]);
  });

  it('starts no task again whose end does not fit into the report of its host', async () => {
    await start(1);
    const need = { cpuMillis: 10, memoryMb: 1, gpus: 0 };
    const job = fleet.submit([{ taskCount: 600, need }]);
    await fleet.time.advance(6_000);
    expect(fleet.oracle.startCount).toEqual(600);
    await expectCompleted([job]);
  });

  it('persists simultaneous changes of many hosts and jobs within the transaction size limit', async () => {
    await start(120);
    const jobs = Array.from({ length: 40 }, () =>
      fleet.submit([{ taskCount: 2, need: { cpuMillis: 400, memoryMb: 1, gpus: 0 } }]),
    );
    fleet.listHosts().forEach(({ id }) => fleet.startHost(`${id}-later`));
    await fleet.time.advance(TASK_MS + 200);
    fleet.killDaemon(fleet.findOwner() as string);
    await fleet.time.advance(6_000);
    await expectCompleted(jobs);
  });

  it('does not restart an ended job when the store compacts its history much later', async () => {
    await start(2);
    const jobs = [fleet.submit([{}]), fleet.submit([{}, { after: [0] }])];
    await fleet.time.advance(3_000);
    await expectCompleted(jobs);
    const { startCount } = fleet.oracle;
    await fleet.time.advance(JOB_RETENTION_MS);
    expect(await fleet.findState(jobs[0] as string)).toEqual(null);
    fleet.rows.compactHistory();
    await fleet.time.advance(5_000);
    expect(fleet.oracle.startCount).toEqual(startCount);
    expect(fleet.oracle.violations).toEqual([]);
  });

  it('also removes jobs that ended before its term', async () => {
    await start(2);
    const job = fleet.submit([{}]);
    await fleet.time.advance(2_000);
    await expectCompleted([job]);
    fleet.killDaemon(fleet.findOwner() as string);
    await fleet.time.advance(4_000);
    await expectCompleted([job]);
    await fleet.time.advance(JOB_RETENTION_MS);
    expect(await fleet.findState(job)).toEqual(null);
  });

  it('fails a job when a task has used up its attempts, and starts the task no more', async () => {
    await start(3);
    fleet.listHosts().forEach((host) => {
      const failing = host;
      failing.shouldFailTask = (task) => task.endsWith('.2');
    });
    const job = fleet.submit([{}]);
    await fleet.time.advance(8_000);
    expect(await fleet.findState(job)).toEqual(JobState.Failed);
    expect(fleet.oracle.violations).toEqual([]);
  });

  // Guards against MIXED: a waiting count of 0 while every start is refused.
  it('counts jobs as waiting until a host has started one of their tasks', async () => {
    await start(3);
    const refusal = createError({ kind: OrderRefusal.Unhealthy, clockMs: null, cause: 'busy' });
    const hosts = fleet.listHosts();
    const starts = hosts.map((host) => host.start.bind(host));
    hosts.forEach((host) => Object.assign(host, { start: () => refusal }));
    const jobs = Array.from({ length: 5 }, () => fleet.submit([{ taskCount: 2 }]));
    const count = () => fleet.findOwnerContext()?.jobRegistry.countWaiting(() => true);
    for (let second = 0; second < 6; second += 1) {
      await fleet.time.advance(1_000);
      expect(count()).toEqual(jobs.length);
    }
    hosts.forEach((host, index) => Object.assign(host, { start: starts[index] }));
    await fleet.time.advance(4_000);
    expect(count()).toEqual(0);
    await expectCompleted(jobs);
  });

  it('stops all tasks of a cancelled job', async () => {
    await start(2);
    const job = fleet.submit([{ isLasting: true, estimateMs: 0 }]);
    await fleet.time.advance(1_000);
    fleet.cancel(job);
    await fleet.time.advance(1_500);
    expect(await fleet.findState(job)).toEqual(JobState.Cancelled);
    expect(fleet.listHosts().every((host) => host.countRuns() === 0)).toEqual(true);
  });
});
