import type { FleetConfiguration, QueueSettings } from '@baobabwell/fleet';

import { expect } from 'earl';

import { JobState } from '@baobabwell/jobs';

import { CONFIGURATION, EmulatedJobFleet, JobInvariant } from '../../index';

const SEED = 29;
const START_MS = 1_500;
const TASK_MS = 1_000;
const RENAMED = 'bakes-renamed';
const OTHER_POOL = 'stoves';
const [QUEUE] = CONFIGURATION.queues as readonly [QueueSettings];
const TWO_STEPS = [
  { taskCount: 2, estimateMs: TASK_MS },
  { taskCount: 2, estimateMs: TASK_MS, after: [0] },
];

/** A change of routes, and of processes beside it. */
type Change = { readonly name: string; readonly apply: (fleet: EmulatedJobFleet) => Promise<void> };

function createConfiguration(
  version: number,
  queues: readonly QueueSettings[],
): FleetConfiguration {
  const pools = [...CONFIGURATION.pools, { name: OTHER_POOL, isSpare: false, checksRoom: true }];
  return { ...CONFIGURATION, version, queues, pools };
}

function setQueues(fleet: EmulatedJobFleet, queues: readonly QueueSettings[]): void {
  const changed = fleet;
  changed.configuration = createConfiguration(fleet.configuration.version + 1, queues);
}

function rename(fleet: EmulatedJobFleet, name = RENAMED): void {
  setQueues(fleet, [{ ...QUEUE, name }]);
}

const CHANGES: readonly Change[] = [
  { name: 'gets another name', apply: async (fleet) => rename(fleet) },
  {
    name: 'gets another name twice',
    apply: async (fleet) => {
      rename(fleet);
      await fleet.time.advance(300);
      rename(fleet, `${RENAMED}-again`);
    },
  },
  {
    name: 'gets another name and the owner is killed',
    apply: async (fleet) => {
      rename(fleet);
      await fleet.time.advance(300);
      fleet.killDaemon(fleet.findOwner() ?? '');
    },
  },
  {
    name: 'gets another name and the owner is stopped',
    apply: async (fleet) => {
      rename(fleet);
      await fleet.time.advance(300);
      await fleet.stopDaemon(fleet.findOwner() ?? '');
    },
  },
  { name: 'is removed', apply: async (fleet) => setQueues(fleet, []) },
  {
    name: 'is removed and the owner is killed',
    apply: async (fleet) => {
      setQueues(fleet, []);
      await fleet.time.advance(300);
      fleet.killDaemon(fleet.findOwner() ?? '');
    },
  },
  {
    name: 'gives its name to a route of another pool',
    apply: async (fleet) =>
      setQueues(fleet, [
        { ...QUEUE, name: RENAMED },
        { ...QUEUE, pathPrefix: '/stews/', pool: OTHER_POOL },
      ]),
  },
  {
    name: 'is replaced by one of another pool',
    apply: async (fleet) => setQueues(fleet, [{ ...QUEUE, name: 'stews', pool: OTHER_POOL }]),
  },
];

describe('jobs of the emulated fleet whose route', () => {
  let fleet: EmulatedJobFleet;

  async function start(hostCount = 4): Promise<void> {
    fleet = new EmulatedJobFleet(SEED, hostCount);
    fleet.configuration = createConfiguration(1, [QUEUE]);
    ['a', 'b', 'c'].forEach((name) => fleet.startDaemon(name));
    await fleet.time.advance(START_MS);
  }

  function countRuns(): number {
    return fleet.listHosts().reduce((count, host) => count + host.countRuns(), 0);
  }

  async function expectState(job: string, state: JobState): Promise<void> {
    expect(fleet.oracle.violations).toEqual([]);
    expect(await fleet.findState(job)).toEqual(state);
  }

  afterEach(() => fleet.close());

  // Each guards against LOST: an accepted job whose later tasks never start.
  CHANGES.forEach(({ name, apply }) => {
    it(`${name} run their later steps`, async () => {
      await start();
      const job = fleet.submit(TWO_STEPS);
      await fleet.time.advance(300);
      await apply(fleet);
      await fleet.time.advance(8_000);
      await expectState(job, JobState.Completed);
    });

    it(`${name} run their later occurrences`, async () => {
      await start();
      const repeat = { count: 4, firstDueMs: fleet.time.getWallTime(), intervalMs: 2_000 };
      const job = fleet.submit([{ taskCount: 2, estimateMs: TASK_MS }], { repeat });
      await fleet.time.advance(300);
      await apply(fleet);
      await fleet.time.advance(12_000);
      await expectState(job, JobState.Completed);
    });

    it(`${name} run their long running tasks again`, async () => {
      await start();
      const lasting = fleet.submit([{ taskCount: 2, isLasting: true, estimateMs: 0 }]);
      await fleet.time.advance(300);
      await apply(fleet);
      await fleet.time.advance(5_000);
      fleet.crashHosts(fleet.listHosts().map(({ id }) => id));
      await fleet.time.advance(8_000);
      expect([countRuns(), await fleet.findState(lasting)]).toEqual([2, JobState.Running]);
      expect(fleet.oracle.violations).toEqual([]);
    });

    it(`${name} keep the limit on attempts and the cap of their organisation`, async () => {
      await start(8);
      fleet.listHosts().forEach((host) => {
        const failing = host;
        failing.shouldFailTask = (task) => task.endsWith('.1.0');
      });
      const failed = fleet.submit(TWO_STEPS);
      const jobs = Array.from({ length: 8 }, () =>
        fleet.submit([{ taskCount: 8, estimateMs: TASK_MS }]),
      );
      await fleet.time.advance(300);
      await apply(fleet);
      await fleet.time.advance(16_000);
      await expectState(failed, JobState.Failed);
      const states = await Promise.all(jobs.map(async (id) => fleet.findState(id)));
      expect(states).toEqual(jobs.map(() => JobState.Completed));
      const broken = [JobInvariant.KeepsAttemptLimit, JobInvariant.KeepsOrganisationCap];
      expect(fleet.oracle.violations.filter(({ promise }) => broken.includes(promise))).toEqual([]);
    });
  });

  // Guards against MIXED: a waiting count of 0 at the path under which the jobs were accepted.
  it('gets another name are counted as waiting under it, by owners of either version', async () => {
    await start(0);
    const jobs = Array.from({ length: 5 }, () => fleet.submit([{ taskCount: 2 }]));
    await fleet.time.advance(500);
    const renamed = { ...QUEUE, name: RENAMED };
    const count = async (queue: QueueSettings) => fleet.countWaiting(queue);
    expect([await count(QUEUE), await count(renamed)]).toEqual([jobs.length, jobs.length]);
    rename(fleet);
    expect([await count(QUEUE), await count(renamed)]).toEqual([jobs.length, jobs.length]);
    const other = { ...QUEUE, pathPrefix: '/stews/', pool: OTHER_POOL };
    setQueues(fleet, [renamed, other]);
    expect([await count(renamed), await count(other)]).toEqual([jobs.length, 0]);
  });

  // Guards against LOST: a pool without machines for jobs that no route names any more.
  it('is removed get machines', async () => {
    fleet = new EmulatedJobFleet(SEED, 1);
    fleet.configuration = createConfiguration(1, [QUEUE]);
    const cloud = fleet.createCloud(6);
    fleet.startDaemon('a');
    await fleet.time.advance(START_MS);
    const need = { cpuMillis: 8_000, memoryMb: 100, gpus: 0 };
    const job = fleet.submit([
      { taskCount: 1, estimateMs: TASK_MS },
      { taskCount: 12, need, estimateMs: TASK_MS, after: [0] },
    ]);
    await fleet.time.advance(300);
    setQueues(fleet, []);
    await fleet.time.advance(2_500);
    expect(cloud.countInPool('ovens') > 2).toEqual(true);
    await fleet.time.advance(10_000);
    await expectState(job, JobState.Completed);
  });

  // Guards against LOST: slow runs that get no copy, and are waited for.
  it('gets another name get copies of slow runs', async () => {
    await start();
    for (let count = 0; count < 16; count += 1) {
      fleet.submit([{ taskCount: 1, estimateMs: TASK_MS + 60 * count }]);
    }
    await fleet.time.advance(4 * TASK_MS);
    fleet.listHosts().forEach((emulatedHost, index) => {
      const host = emulatedHost;
      host.durationFactor = index === 0 ? 12 : 1;
    });
    const job = fleet.submit([
      { taskCount: 8, estimateMs: TASK_MS, isSpeculative: true, maxPerHost: 2 },
    ]);
    await fleet.time.advance(300);
    rename(fleet);
    await fleet.time.advance(6 * TASK_MS);
    await expectState(job, JobState.Completed);
  });

  // Guards against long running tasks that stay in a data centre that is evacuated.
  it('gets another name leave a data centre that is evacuated', async () => {
    fleet = new EmulatedJobFleet(SEED, 4, 2);
    fleet.startDaemon('a');
    await fleet.time.advance(START_MS);
    const need = { cpuMillis: 8_000, memoryMb: 1_000, gpus: 0 };
    fleet.submit([{ taskCount: 4, need, isLasting: true, estimateMs: 0, maxAway: 1 }]);
    await fleet.time.advance(1_000);
    expect(fleet.countRunsInZone('north')).toBeGreaterThan(0);
    rename(fleet);
    fleet.evacuate('north');
    await fleet.time.advance(12_000);
    expect([fleet.countRunsInZone('north'), countRuns()]).toEqual([0, 4]);
    expect(fleet.oracle.violations).toEqual([]);
  });
});
