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
