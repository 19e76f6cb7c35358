import { expect } from 'earl';

import { OrderRefusal } from '@baobabwell/platform';
import { createError, createOk } from '@baobabwell/utils';

import { EmulatedJobFleet, NO_STORE_FAULTS } from '../../index';

const SEED = 7;
const START_MS = 1_500;
const TASK = { taskCount: 1, estimateMs: 2_500 };

const LONG_RUNNING_STEP = { isLasting: true, estimateMs: 0, maxPerHost: 1, maxAway: 1 };

/** The logger takes this time from the real clock. */
const REAL_TIME = / at=\S+/;

describe('log lines on tasks that are started again', () => {
  let fleet: EmulatedJobFleet;

  async function start(hostCount: number): Promise<void> {
    fleet = new EmulatedJobFleet(SEED, hostCount);
    fleet.startDaemon('a');
    await fleet.time.advance(START_MS);
  }

  /** Lists the lines of some events, each with its emulated time. */
  function listLines(...events: readonly string[]): readonly string[] {
    return fleet.logLines
      .filter((line) => events.some((event) => line.includes(` event=${event} `)))
      .map((line) => line.replace(REAL_TIME, ''));
  }

  /** Replaces members of the first host. */
  function replaceOnHost(replaced: Partial<ReturnType<EmulatedJobFleet['startHost']>>): void {
    Object.assign(fleet.listHosts()[0] as object, replaced);
  }

  afterEach(() => fleet.close());

  it('name the positions of the report from which a run was missing', async function () {
    await start(1);
    fleet.submit([{ taskCount: 1, estimateMs: 100 }]);
    fleet.submit([TASK]);
    await fleet.time.advance(1_000);
    replaceOnHost({ shouldHideRuns: true });
    await fleet.time.advance(1_000);
    replaceOnHost({ shouldHideRuns: false });
    expect(listLines('run-vanished', 'run-lost').slice(0, 1)).toMatchSnapshot(this);
  });

  it('name the restart after which runs are missing', async function () {
    await start(1);
    fleet.submit([TASK]);
    await fleet.time.advance(400);
    fleet.startHost('host-0');
    await fleet.time.advance(1_000);
    expect(listLines('run-vanished', 'run-lost')).toMatchSnapshot(this);
  });

  it('name each run of a host whose lease lapsed', async function () {
    await start(2);
    fleet.submit([{ ...TASK, taskCount: 4 }]);
    await fleet.time.advance(400);
    fleet.faults.partitionedHosts.add('host-0');
    await fleet.time.advance(5_000);
    expect(listLines('run-vanished', 'run-lost')).toMatchSnapshot(this);
  });

  it('name a run once when another incarnation answers its start', async function () {
    await start(1);
    const refusal = { kind: OrderRefusal.OtherIncarnation, clockMs: null, cause: 'another' };
    replaceOnHost({ start: () => createError(refusal) });
    fleet.submit([TASK]);
    await fleet.time.advance(500);
    expect(listLines('run-vanished', 'run-lost')).toMatchSnapshot(this);
  });

  it('name a run that was refused', async function () {
    await start(1);
    const refusal = { kind: OrderRefusal.NoCapacity, clockMs: null, cause: 'full' };
    replaceOnHost({ start: () => createError(refusal) });
    fleet.submit([TASK]);
    await fleet.time.advance(40);
    expect(listLines('run-vanished', 'run-lost')).toMatchSnapshot(this);
  });

  it('name the transaction under way at a restart', async function () {
    await start(1);
    fleet.submit([{ taskCount: 1, estimateMs: 300 }]);
    fleet.submit([TASK]);
    await fleet.time.advance(150);
    fleet.rows.faults = { ...NO_STORE_FAULTS, slowMs: 500 };
    await fleet.time.advance(200);
    fleet.startHost('host-0');
    await fleet.time.advance(2_500);
    expect(listLines('host-reborn', 'ends-acknowledged-unseen')).toMatchSnapshot(this);
  });

  it('name a position that was acknowledged to the next incarnation', async function () {
    await start(1);
    fleet.submit([{ taskCount: 1, estimateMs: 300 }]);
    fleet.submit([TASK]);
    const [host] = fleet.listHosts();
    const hold = host?.hold.bind(host) as NonNullable<typeof host>['hold'];
    replaceOnHost({
      hold: async (order) => {
        const reply = await hold(order);
        const isAcknowledged = order.acknowledgedPosition > 0;
        return reply.ok && isAcknowledged
          ? createOk({ ...reply.value, bornMs: (reply.value.bornMs ?? 0) + 1, active: [] })
          : reply;
      },
    });
    await fleet.time.advance(1_500);
    expect(listLines('ends-acknowledged-unseen')).toMatchSnapshot(this);
  });

  it('name the first position of a report that skips ends', async function () {
    await start(1);
    const [host] = fleet.listHosts();
    const hold = host?.hold.bind(host) as NonNullable<typeof host>['hold'];
    // Injected defect: the host does not list its first end.
    replaceOnHost({
      hold: async (order) => {
        const reply = await hold(order);
        return reply.ok
          ? createOk({
              ...reply.value,
              ended: reply.value.ended.filter(({ position }) => position > 1),
            })
          : createError(reply.error);
      },
    });
    fleet.submit([{ taskCount: 1, estimateMs: 300 }]);
    fleet.submit([{ taskCount: 1, estimateMs: 600 }]);
    await fleet.time.advance(1_000);
    expect(listLines('ends-skipped', 'ends-acknowledged-unseen')).toMatchSnapshot(this);
  });

  it('take no ends for skipped that a former owner acknowledged', async () => {
    await start(1);
    fleet.submit([{ taskCount: 3, estimateMs: 300 }]);
    await fleet.time.advance(1_000);
    fleet.killDaemon('a');
    fleet.startDaemon('b');
    await fleet.time.advance(5_000);
    fleet.submit([{ taskCount: 3, estimateMs: 300 }]);
    await fleet.time.advance(1_000);
    expect(listLines('run-ended').length).toEqual(6);
    expect(listLines('ends-skipped', 'ends-acknowledged-unseen')).toEqual([]);
  });

  it('name whose leases a host was silent for', async function () {
    await start(2);
    fleet.submit([{ ...TASK, taskCount: 1 }]);
    await fleet.time.advance(400);
    fleet.startDaemon('b');
    await fleet.time.advance(100);
    fleet.faults.partitionedHosts.add('host-0');
    await fleet.time.advance(5_000);
    fleet.killDaemon('a');
    await fleet.time.advance(20_000);
    expect(listLines('host-lease-lapsed')).toMatchSnapshot(this);
  });

  it('name what is known of the task of an ignored end, and the position', async function () {
    await start(1);
    fleet.submit([TASK]);
    await fleet.time.advance(400);
    replaceOnHost({ shouldHideRuns: true });
    await fleet.time.advance(2_000);
    replaceOnHost({ shouldHideRuns: false });
    await fleet.time.advance(4_000);
    expect(listLines('end-ignored').slice(0, 1)).toMatchSnapshot(this);
  });

  it('name what is known of a host when its machine is ordered or a long running task stopped', async function () {
    fleet = new EmulatedJobFleet(SEED, 3);
    fleet.createCloud(0);
    fleet.startDaemon('a');
    await fleet.time.advance(START_MS);
    fleet.submit([{ ...LONG_RUNNING_STEP, taskCount: 2 }]);
    await fleet.time.advance(1_000);
    const machines = ['m-host-0', 'm-host-1', 'm-host-2'];
    fleet.requestWave({ number: 1, durationMs: 20_000, maxDown: 1, machines });
    await fleet.time.advance(10_000);
    expect(listLines('stop-ordered', 'machine-ordered').slice(0, 3)).toMatchSnapshot(this);
  });

  it('count no others of a step whose job was cancelled', async function () {
    await start(1);
    const job = fleet.submit([{ ...LONG_RUNNING_STEP, taskCount: 1 }]);
    await fleet.time.advance(1_000);
    fleet.cancel(job);
    await fleet.time.advance(500);
    expect(listLines('stop-ordered')).toMatchSnapshot(this);
  });

  it('name the ends for which a job failed, and which of them a former owner stored', async function () {
    await start(1);
    replaceOnHost({ shouldFailTask: () => true });
    fleet.submit([{ taskCount: 1, estimateMs: 400 }]);
    await fleet.time.advance(1_000);
    fleet.killDaemon('a');
    fleet.startDaemon('b');
    await fleet.time.advance(10_000);
    expect(listLines('failures-restored', 'job-failed')).toMatchSnapshot(this);
  });

  it('name the crashes for which a job failed', async function () {
    await start(1);
    const job = fleet.submit([{ taskCount: 1, estimateMs: 400 }]);
    fleet.crashingTasks.add(`${job}.0.0.0`);
    await fleet.time.advance(15_000);
    expect(listLines('job-failed')).toMatchSnapshot(this);
  });

  it('count lost runs by ground', async () => {
    await start(1);
    fleet.submit([TASK]);
    await fleet.time.advance(400);
    const metrics = fleet.findOwnerContext()?.metrics;
    fleet.startHost('host-0');
    await fleet.time.advance(1_000);
    const { values } = (await metrics?.lostRuns.get()) ?? { values: [] };
    expect(values).toEqual([{ value: 1, labels: { pool: 'ovens', ground: 'vanished' } }]);
  });
});
