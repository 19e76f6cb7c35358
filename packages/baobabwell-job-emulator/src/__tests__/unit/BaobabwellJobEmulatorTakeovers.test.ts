import type { EmulatedHost } from '../../index';
import type { JsonValue } from '@baobabwell/platform';

import { expect } from 'earl';

import { getJobPartition, JOBS_TABLE, PROGRESS_TABLE } from '@baobabwell/ingress';
import { JobState } from '@baobabwell/jobs';

import { CAP_CPU_MILLIS, CONFIGURATION, EmulatedJobFleet } from '../../index';

const SEED = 7;
const START_MS = 1_500;

/** Time after a takeover within which all jobs have ended, in ms. */
const RECOVERY_MS = 20_000;

/** Time for which the rows of an ended job are kept at least, in ms. */
const RETENTION_MS = 180_000;

/** Number of jobs that ended before a takeover: more than one transaction removes. */
const FORMER_JOBS = 150;

const OTHER_POOL = 'cellars';

/** A task that uses half of a host. */
const HALF = { need: { cpuMillis: 8_000, memoryMb: 1_000, gpus: 0 }, estimateMs: 9_000 };

describe('takeovers of the emulated fleet while hosts are silent', () => {
  let fleet: EmulatedJobFleet;

  async function start(hostCount: number): Promise<void> {
    fleet = new EmulatedJobFleet(SEED, hostCount);
    ['a', 'b'].forEach((name) => fleet.startDaemon(name));
    await fleet.time.advance(START_MS);
  }

  function listBusyHosts(): readonly EmulatedHost[] {
    return fleet.listHosts().filter((host) => host.countRuns() > 0);
  }

  /** Partitions the hosts that run something, which go on, and has another process take over. */
  async function replaceOwnerOfSilentHosts(): Promise<void> {
    listBusyHosts().forEach(({ id }) => fleet.faults.partitionedHosts.add(id));
    await fleet.stopDaemon(fleet.findOwner() ?? '');
    await fleet.time.advance(500);
  }

  function sendQueueTo(pool: string): void {
    const { version, queues, pools } = fleet.configuration;
    fleet.configuration = {
      ...fleet.configuration,
      version: version + 1,
      queues: queues.map((queue) => ({ ...queue, pool })),
      pools: pools.some(({ name }) => name === pool)
        ? pools
        : [...pools, { name: pool, isSpare: false, checksRoom: true }],
    };
  }

  async function expectCompleted(jobs: readonly string[]): Promise<void> {
    expect(fleet.oracle.violations).toEqual([]);
    const states = await Promise.all(jobs.map(async (id) => fleet.findState(id)));
    expect(states).toEqual(jobs.map(() => JobState.Completed));
  }

  afterEach(() => fleet.close());

  [1, 2].forEach((changeCount) => {
    it(`starts no task twice after its queue went to another pool (routes changed: ${changeCount})`, async () => {
      await start(4);
      fleet
        .listHosts()
        .slice(2)
        .forEach((host) => fleet.workers.update(host, { pool: OTHER_POOL }));
      await fleet.time.advance(1_000);
      const [{ pool = '' } = {}] = CONFIGURATION.queues;
      const former = fleet.submit([{ ...HALF, taskCount: 2 }]);
      await fleet.time.advance(500);
      sendQueueTo(OTHER_POOL);
      await fleet.time.advance(1_000);
      if (changeCount > 1) {
        const between = fleet.submit([{ ...HALF, taskCount: 2 }]);
        await fleet.time.advance(500);
        sendQueueTo(pool);
        await replaceOwnerOfSilentHosts();
        fleet.faults.partitionedHosts.clear();
        await fleet.time.advance(RECOVERY_MS);
        await expectCompleted([former, between]);
        return;
      }
      await replaceOwnerOfSilentHosts();
      await fleet.time.advance(1_000);
      expect(fleet.oracle.violations).toEqual([]);
      fleet.faults.partitionedHosts.clear();
      await fleet.time.advance(RECOVERY_MS);
      await expectCompleted([former]);
    });
  });

  it('keeps the cap of an organisation while runs on silent hosts may still use it', async () => {
    await start(8);
    const former = fleet.submit([{ ...HALF, taskCount: CAP_CPU_MILLIS / HALF.need.cpuMillis }]);
    await fleet.time.advance(500);
    await replaceOwnerOfSilentHosts();
    const next = fleet.submit([{ ...HALF, taskCount: 5 }]);
    await fleet.time.advance(2 * RECOVERY_MS);
    await expectCompleted([former, next]);
  });

  /** A job that uses the whole cap of its organisation, on hosts that are then silent. */
  async function startWholeCap(): Promise<string> {
    await start(12);
    const job = fleet.submit([{ ...HALF, taskCount: CAP_CPU_MILLIS / HALF.need.cpuMillis }]);
    await fleet.time.advance(500);
    listBusyHosts().forEach(({ id }) => fleet.faults.partitionedHosts.add(id));
    return job;
  }

  /** Submits another job that uses the whole cap and waits until it is done. */
  async function expectNextWithinCap(): Promise<void> {
    const next = fleet.submit([{ ...HALF, taskCount: CAP_CPU_MILLIS / HALF.need.cpuMillis }]);
    await fleet.time.advance(2 * RECOVERY_MS);
    await expectCompleted([next]);
  }

  // Guards against QUOTA: runs of cancelled jobs on silent hosts that a takeover does not count.
  [
    { title: 'before a takeover', beforeMs: 400, takeovers: 1 },
    { title: 'just before a takeover', beforeMs: 1, takeovers: 1 },
    { title: 'after a takeover', beforeMs: null, takeovers: 1 },
    { title: 'before two takeovers', beforeMs: 400, takeovers: 2 },
    { title: 'between two takeovers', beforeMs: null, takeovers: 2 },
  ].forEach(({ title, beforeMs, takeovers }) => {
    it(`counts the runs of a job that was cancelled ${title} while its hosts are silent`, async () => {
      const former = await startWholeCap();
      if (beforeMs !== null) {
        fleet.cancel(former);
        await fleet.time.advance(beforeMs);
      }
      const owner = fleet.findOwner() ?? '';
      await fleet.stopDaemon(owner);
      await fleet.time.advance(beforeMs === null ? 20 : 500);
      if (beforeMs === null) {
        fleet.cancel(former);
        await fleet.time.advance(300);
      }
      if (takeovers > 1) {
        fleet.startDaemon(owner);
        await fleet.time.advance(200);
        await fleet.stopDaemon(fleet.findOwner() ?? '');
        await fleet.time.advance(500);
      }
      await expectNextWithinCap();
    });
  });

  it('counts the runs of a job that failed before a takeover while their hosts are silent', async () => {
    await start(12);
    const need = { cpuMillis: 1_000, memoryMb: 1_000, gpus: 0 };
    const former = fleet.submit([
      { ...HALF, taskCount: 4 },
      { need, taskCount: 1, estimateMs: 100 },
    ]);
    fleet.listHosts().forEach((emulatedHost) => {
      const host = emulatedHost;
      host.shouldFailTask = (task) => task === `${former}.0.1.0`;
    });
    await fleet.time.advance(50);
    fleet
      .listHosts()
      .filter((host) => [0, 1, 2, 3].some((index) => host.hasRun(`${former}.0.0.${index}`)))
      .filter((host) => !host.hasRun(`${former}.0.1.0`))
      .forEach(({ id }) => fleet.faults.partitionedHosts.add(id));
    await fleet.time.advance(900);
    expect(await fleet.findState(former)).toEqual(JobState.Failed);
    await fleet.stopDaemon(fleet.findOwner() ?? '');
    await fleet.time.advance(500);
    await expectNextWithinCap();
  });

  it('counts the runs of a queue that was removed before a takeover while their hosts are silent', async () => {
    const queues = [...CONFIGURATION.queues, ...CONFIGURATION.queues].map((queue, index) => ({
      ...queue,
      name: index === 0 ? queue.name : 'removed',
    }));
    await start(12);
    fleet.configuration = { ...fleet.configuration, version: 2, queues };
    const taskCount = CAP_CPU_MILLIS / HALF.need.cpuMillis;
    fleet.submit([{ ...HALF, taskCount }], { queue: 'removed' });
    await fleet.time.advance(700);
    expect(listBusyHosts().length).toBeGreaterThan(0);
    fleet.configuration = { ...fleet.configuration, version: 3, queues: CONFIGURATION.queues };
    await fleet.time.advance(300);
    await replaceOwnerOfSilentHosts();
    await expectNextWithinCap();
  });

  it('names the runs of a cancelled job in its row until they have ended', async () => {
    const former = await startWholeCap();
    fleet.cancel(former);
    await fleet.time.advance(400);
    const findRow = () =>
      JSON.stringify(fleet.rows.list({ table: PROGRESS_TABLE }).find(({ key }) => key === former));
    expect(findRow().includes('"leftover":5')).toEqual(true);
    fleet.faults.partitionedHosts.clear();
    await fleet.time.advance(RECOVERY_MS);
    expect(findRow().includes('leftover')).toEqual(false);
    expect(fleet.oracle.violations).toEqual([]);
  });

  it('tracks no job that ended long ago after a takeover, and removes its rows in time', async () => {
    await start(3);
    const done = fleet.submit([{ taskCount: 2 }]);
    await fleet.time.advance(2_000);
    const [progress] = fleet.rows.list({ table: PROGRESS_TABLE });
    const former = Array.from({ length: FORMER_JOBS }, (_, index) => `f${index}`.padStart(16, 'f'));
    const acceptedAtMs = fleet.time.getWallTime() - 10 * RETENTION_MS;
    former.forEach((id) => {
      const record = { ...fleet.oracle.jobs.get(done), id, acceptedAtMs } as unknown as JsonValue;
      const writes = [
        { table: JOBS_TABLE, part: getJobPartition(id), key: id, value: record },
        { table: PROGRESS_TABLE, key: id, value: progress?.value ?? null },
      ];
      fleet.rows.apply({ conditions: [], writes });
    });
    fleet.rows.compactHistory();
    fleet.killDaemon(fleet.findOwner() ?? '');
    await fleet.time.advance(5_000);
    const next = fleet.submit([{ taskCount: 2 }]);
    await fleet.time.advance(2_000);
    const tracked = [...(fleet.findOwnerContext()?.jobRegistry.listJobs() ?? [])];
    expect(tracked.map(({ record }) => record.id)).toEqual([done, next]);
    expect(fleet.rows.list({ table: PROGRESS_TABLE }).length).toEqual(FORMER_JOBS + 2);
    await expectCompleted([next]);
    await fleet.time.advance(2 * RETENTION_MS);
    const partitions = new Set([done, next, ...former].map(getJobPartition));
    const left = [...partitions].flatMap((part) => fleet.rows.list({ table: JOBS_TABLE, part }));
    expect([left, fleet.rows.list({ table: PROGRESS_TABLE })]).toEqual([[], []]);
  });

  it('starts new work of an organisation with room at once although a host is silent', async () => {
    await start(8);
    fleet.submit([{ ...HALF, taskCount: 1 }]);
    await fleet.time.advance(500);
    await replaceOwnerOfSilentHosts();
    const atMs = fleet.time.getNow();
    const next = fleet.submit([{ taskCount: 4 }]);
    await fleet.time.advance(300);
    const started = fleet.logLines.filter(
      (line) => line.includes('start-ordered') && line.includes(next),
    );
    expect([started.length, Number(started[0]?.split(' ')[0]) - atMs < 100]).toEqual([4, true]);
  });
});
