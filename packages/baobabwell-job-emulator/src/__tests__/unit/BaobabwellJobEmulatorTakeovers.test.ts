import type { EmulatedHost } from '../../index';

import { expect } from 'earl';

import { JobState } from '@baobabwell/jobs';

import { CAP_CPU_MILLIS, CONFIGURATION, EmulatedJobFleet } from '../../index';

const SEED = 7;
const START_MS = 1_500;

/** Time after a takeover within which all jobs have ended, in ms. */
const RECOVERY_MS = 20_000;

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
