import type { EmulatedHost } from '../../index';
import type { JobState as JobStateValue } from '@baobabwell/jobs';

import { expect } from 'earl';

import { JobState } from '@baobabwell/jobs';

import { CrashRecovery, EmulatedJobFleet } from '../../index';

const SEED = 11;
const START_MS = 1_500;
const STEP_MS = 20;

/** Time within which a task that crashes its hosts is given up, in ms. */
const GIVE_UP_MS = 40_000;

/** Time after a fault within which all other jobs have ended, in ms. */
const RECOVERY_MS = 15_000;

/** Number of crashed hosts after which a task may start twice more. */
const MAX_CRASHES = 5;

/** Time for which a run goes on before its host is cut off, in ms. */
const CUT_AFTER_MS = 2_000;

/** Time for which a host is cut off: longer than its leases and its row last, in ms. */
const CUT_MS = 5_500;

const PROCESSES = ['a', 'b', 'c'];

describe('tasks that crash the hosts of the emulated fleet', () => {
  let fleet: EmulatedJobFleet;

  async function start(hostCount: number, recovery = CrashRecovery.OtherId): Promise<void> {
    fleet = new EmulatedJobFleet(SEED, hostCount);
    fleet.crashRecovery = recovery;
    PROCESSES.forEach((name) => fleet.startDaemon(name));
    await fleet.time.advance(START_MS);
  }

  async function listStates(jobIds: readonly string[]): Promise<readonly (JobStateValue | null)[]> {
    return Promise.all(jobIds.map(async (id) => fleet.findState(id)));
  }

  async function expectStates(jobIds: readonly string[], state: JobState): Promise<void> {
    expect(fleet.oracle.violations).toEqual([]);
    expect(await listStates(jobIds)).toEqual(jobIds.map(() => state));
  }

  /** Submits jobs of four short tasks each, one every 150 ms. */
  async function submitNeighbours(count: number): Promise<readonly string[]> {
    const ids: string[] = [];
    for (let index = 0; index < count; index += 1) {
      ids.push(fleet.submit([{ taskCount: 4 }]));
      await fleet.time.advance(150);
    }
    return ids;
  }

  /** Advances until a task has crashed as many hosts, or until it has been given up. */
  async function waitForCrashes(task: string, count: number): Promise<void> {
    for (let ms = 0; ms < GIVE_UP_MS && fleet.oracle.countCrashes(task) < count; ms += STEP_MS) {
      await fleet.time.advance(STEP_MS);
    }
  }

  /** Crashes the running hosts that match, in the same moment. */
  function crashWhere(matches: (host: EmulatedHost) => boolean): void {
    const hosts = fleet.listHosts().filter((host) => host.isAlive && matches(host));
    fleet.crashHosts(hosts.map(({ id }) => id));
  }

  /** Adds a host, which runs on, to those with a fault until some time after its row was removed. */
  function cutHost(host: EmulatedHost, faultyHosts: Set<string>): void {
    faultyHosts.add(host.id);
    fleet.time.startTimer(CUT_MS - 1_000, () => fleet.workers.remove(host.id));
    fleet.time.startTimer(CUT_MS, () => {
      faultyHosts.delete(host.id);
      fleet.workers.update(host, {});
    });
  }

  function findHost(task: string): EmulatedHost | undefined {
    const { partitionedHosts, refusingHosts } = fleet.faults;
    return fleet
      .listHosts()
      .find(
        (host) =>
          host.hasRun(task) && !partitionedHosts.has(host.id) && !refusingHosts.has(host.id),
      );
  }

  async function replaceOwner(): Promise<void> {
    const owner = fleet.findOwner();
    if (owner !== null) {
      fleet.killDaemon(owner);
      await fleet.time.advance(500);
      fleet.startDaemon(owner);
    }
  }

  afterEach(() => fleet.close());

  Object.values(CrashRecovery).forEach((recovery) => {
    it(`gives up a task that crashes every host (hosts come back: ${recovery})`, async () => {
      await start(12, recovery);
      const crashing = fleet.submit([{ taskCount: 3 }]);
      fleet.crashingTasks.add(`${crashing}.0.0.1`);
      const neighbours = await submitNeighbours(20);
      await fleet.time.advance(GIVE_UP_MS);
      await expectStates([crashing], JobState.Failed);
      await expectStates(neighbours, JobState.Completed);
    });

    it(`gives up a task that crashes every host although each crash takes the owner with it (hosts come back: ${recovery})`, async () => {
      await start(12, recovery);
      const crashing = fleet.submit([{ taskCount: 3 }]);
      const task = `${crashing}.0.0.1`;
      fleet.crashingTasks.add(task);
      const neighbours = await submitNeighbours(2);
      for (let crash = 1; crash <= MAX_CRASHES; crash += 1) {
        await waitForCrashes(task, crash);
        await replaceOwner();
      }
      await fleet.time.advance(GIVE_UP_MS);
      await expectStates([crashing], JobState.Failed);
      await expectStates(neighbours, JobState.Completed);
    });
  });

  Object.values(CrashRecovery).forEach((recovery) => {
    it(`gives up a task that crashes every host although each crash but the first takes the owner with it (hosts come back: ${recovery})`, async () => {
      await start(12, recovery);
      const crashing = fleet.submit([{ taskCount: 3 }]);
      const task = `${crashing}.0.0.1`;
      fleet.crashingTasks.add(task);
      const neighbours = await submitNeighbours(2);
      for (let crash = 2; crash <= MAX_CRASHES; crash += 1) {
        await waitForCrashes(task, crash);
        await replaceOwner();
      }
      await fleet.time.advance(GIVE_UP_MS);
      await expectStates([crashing], JobState.Failed);
      await expectStates(neighbours, JobState.Completed);
    });

    it(`goes on counting the crashes that earlier owners counted (hosts come back: ${recovery})`, async () => {
      await start(12, recovery);
      const crashing = fleet.submit([{ taskCount: 3 }]);
      const task = `${crashing}.0.0.1`;
      fleet.crashingTasks.add(task);
      const neighbours = await submitNeighbours(2);
      for (let crash = 1; crash <= MAX_CRASHES; crash += 1) {
        await waitForCrashes(task, crash);
        await fleet.time.advance(4_500);
        await replaceOwner();
      }
      await fleet.time.advance(GIVE_UP_MS);
      await expectStates([crashing], JobState.Failed);
      await expectStates(neighbours, JobState.Completed);
    });
  });

  it('gives up several tasks that crash hosts without failing the jobs beside them', async () => {
    await start(12);
    const crashing = Array.from({ length: 5 }, () => fleet.submit([{ taskCount: 3 }]));
    crashing.forEach((id) => fleet.crashingTasks.add(`${id}.0.0.2`));
    const neighbours = await submitNeighbours(30);
    await fleet.time.advance(GIVE_UP_MS);
    await expectStates(crashing, JobState.Failed);
    await expectStates(neighbours, JobState.Completed);
  });

  it('gives up a gang with a member that crashes its host', async () => {
    await start(6);
    const crashing = fleet.submit([{ taskCount: 4, isGang: true }]);
    fleet.crashingTasks.add(`${crashing}.0.0.3`);
    const neighbours = await submitNeighbours(10);
    await fleet.time.advance(GIVE_UP_MS);
    await expectStates([crashing], JobState.Failed);
    await expectStates(neighbours, JobState.Completed);
  });

  it('keeps a long running job although one of its tasks crashes every host', async () => {
    await start(6);
    const lasting = fleet.submit([{ taskCount: 3, isLasting: true, maxAway: 1 }]);
    const task = `${lasting}.0.0.0`;
    await fleet.time.advance(START_MS);
    fleet.crashingTasks.add(task);
    crashWhere((host) => host.hasRun(task));
    const neighbours = await submitNeighbours(10);
    await fleet.time.advance(GIVE_UP_MS);
    fleet.crashingTasks.clear();
    await fleet.time.advance(RECOVERY_MS);
    await expectStates([lasting], JobState.Running);
    await expectStates(neighbours, JobState.Completed);
    expect(fleet.oracle.countCrashes(task)).toBeGreaterThan(MAX_CRASHES);
    expect(fleet.listHosts().reduce((count, host) => count + host.countRuns(), 0)).toEqual(3);
  });

  it('counts no crash against a task that was to start on a host that had ended before', async () => {
    await start(2);
    const jobs: string[] = [];
    for (let crash = 0; crash < MAX_CRASHES; crash += 1) {
      crashWhere(() => true);
      if (jobs.length === 0) {
        jobs.push(fleet.submit([{ taskCount: 1, estimateMs: 2_000 }]));
      }
      await fleet.time.advance(3_500);
    }
    await fleet.time.advance(RECOVERY_MS);
    await expectStates(jobs, JobState.Completed);
  });

  it('counts no crash of a host that was cut off until it was no longer listed', async () => {
    await start(6);
    const job = fleet.submit([{ taskCount: 1, estimateMs: 5_000 }]);
    const task = `${job}.0.0.0`;
    for (let cut = 0; cut < MAX_CRASHES; cut += 1) {
      await fleet.time.advance(CUT_AFTER_MS);
      const busy = findHost(task);
      if (busy !== undefined) {
        cutHost(busy, fleet.faults.partitionedHosts);
      }
      await fleet.time.advance(CUT_AFTER_MS);
    }
    await fleet.time.advance(2 * RECOVERY_MS);
    await expectStates([job], JobState.Completed);
  });

  [10, 60, 300].forEach((delayMs) => {
    [false, true].forEach((isOwnerReplaced) => {
      const owners = isOwnerReplaced ? 'is replaced after each cut' : 'stays';
      // Guards against LOST: a job given up for crashes that the next report of its host refutes.
      it(`gives up no job whose hosts refuse connections ${delayMs} ms after its start, and return (the owner ${owners})`, async () => {
        await start(6);
        const job = fleet.submit([{ taskCount: 1, estimateMs: 6_000 }]);
        const task = `${job}.0.0.0`;
        for (let cut = 0; cut < MAX_CRASHES; cut += 1) {
          for (let ms = 0; ms < GIVE_UP_MS && findHost(task) === undefined; ms += 1) {
            await fleet.time.advance(1);
          }
          await fleet.time.advance(delayMs);
          const busy = findHost(task);
          if (busy !== undefined) {
            cutHost(busy, fleet.faults.refusingHosts);
            busy.closeConnections();
          }
          if (isOwnerReplaced) {
            await fleet.time.advance(CUT_MS - 500);
            await replaceOwner();
          }
        }
        await fleet.time.advance(2 * RECOVERY_MS);
        await expectStates([job], JobState.Completed);
      });
    });
  });

  it('gives up a repeated job of which the second occurrence crashes hosts', async () => {
    await start(6);
    const repeat = { count: 3, firstDueMs: fleet.time.getWallTime(), intervalMs: 2_000 };
    const crashing = fleet.submit([{ taskCount: 2 }], { repeat });
    fleet.crashingTasks.add(`${crashing}.1.0.0`);
    await fleet.time.advance(GIVE_UP_MS);
    await expectStates([crashing], JobState.Failed);
  });

  Object.values(CrashRecovery).forEach((recovery) => {
    it(`fails no job when all hosts crash in the same moment, three times (hosts come back: ${recovery})`, async () => {
      await start(4, recovery);
      const jobs = await submitNeighbours(4);
      const long = fleet.submit([{ taskCount: 4, estimateMs: 4_000, maxPerHost: 1 }]);
      const lasting = fleet.submit([{ taskCount: 4, isLasting: true }]);
      for (let crash = 0; crash < 3; crash += 1) {
        await fleet.time.advance(100);
        crashWhere(() => true);
        await fleet.time.advance(7_000);
        Array.from({ length: recovery === CrashRecovery.None ? 4 : 0 }, (_, index) =>
          fleet.startHost(`host-${crash}-${index}`),
        );
        await fleet.time.advance(1_000);
      }
      await fleet.time.advance(2 * RECOVERY_MS);
      await expectStates([...jobs, long], JobState.Completed);
      await expectStates([lasting], JobState.Running);
    });
  });

  it('fails no job whose hosts crashed twice for another cause', async () => {
    await start(6);
    const job = fleet.submit([{ taskCount: 1, estimateMs: 3_000 }]);
    for (let crash = 0; crash < 2; crash += 1) {
      await fleet.time.advance(1_000);
      crashWhere((host) => host.countRuns() > 0);
      await fleet.time.advance(5_000);
    }
    await fleet.time.advance(RECOVERY_MS);
    await expectStates([job], JobState.Completed);
  });

  it('counts no crash of a host that was partitioned and runs on', async () => {
    await start(3);
    const job = fleet.submit([{ taskCount: 6, estimateMs: 2_500 }]);
    for (let cut = 0; cut < 5; cut += 1) {
      await fleet.time.advance(50);
      fleet.listHosts().forEach(({ id }) => fleet.faults.partitionedHosts.add(id));
      await fleet.time.advance(4_000);
      fleet.faults.partitionedHosts.clear();
      await fleet.time.advance(1_000);
    }
    await fleet.time.advance(RECOVERY_MS);
    await expectStates([job], JobState.Completed);
  });
});
