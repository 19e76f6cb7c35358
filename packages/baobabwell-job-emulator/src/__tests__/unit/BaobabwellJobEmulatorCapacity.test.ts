import type { Resources } from '@baobabwell/jobs';

import { expect } from 'earl';

import { JobState } from '@baobabwell/jobs';

import { EmulatedJobFleet, formatAnswer, OrderKind } from '../../index';

const SEED = 17;
const START_MS = 1_500;

/** Time after which an owner has to reckon with a smaller capacity, in ms. */
const SHRUNK_MS = 5_000;

/** Time after a fault within which all jobs have ended, in ms. */
const RECOVERY_MS = 25_000;

const PROCESSES = ['a', 'b', 'c'];

const LARGE: Resources = { cpuMillis: 16_000, memoryMb: 64_000, gpus: 8 };

const QUARTER: Resources = { cpuMillis: 4_000, memoryMb: 16_000, gpus: 2 };

const LASTING = { isLasting: true, estimateMs: 0, maxAway: 1 };

/** What a task requires for a host to hold eight of it, by the resource that is scarce. */
const NEEDS: Readonly<Record<string, Resources>> = {
  CPU: { cpuMillis: 2_000, memoryMb: 10, gpus: 0 },
  memory: { cpuMillis: 100, memoryMb: 8_000, gpus: 0 },
  GPUs: { cpuMillis: 100, memoryMb: 10, gpus: 1 },
};

describe('capacity of emulated hosts that accept starts beyond it', () => {
  let fleet: EmulatedJobFleet;

  async function start(hostCount: number): Promise<void> {
    fleet = new EmulatedJobFleet(SEED, hostCount);
    fleet.listHosts().forEach((listed) => {
      const host = listed;
      host.checksCapacity = false;
      fleet.setCapacity(host.id, LARGE);
    });
    PROCESSES.forEach((name) => fleet.startDaemon(name));
    await fleet.time.advance(2 * START_MS);
  }

  /** Submits a job at an interval for some time. */
  async function submitFor(
    durationMs: number,
    step: Parameters<EmulatedJobFleet['submit']>[0][number],
  ): Promise<readonly string[]> {
    const jobs: string[] = [];
    for (let atMs = 0; atMs < durationMs; atMs += 250) {
      jobs.push(fleet.submit([step]));
      await fleet.time.advance(250);
    }
    return jobs;
  }

  async function expectCompleted(jobIds: readonly string[]): Promise<void> {
    expect(fleet.oracle.violations).toEqual([]);
    const states = await Promise.all(jobIds.map(async (id) => fleet.findState(id)));
    expect(states).toEqual(jobIds.map(() => JobState.Completed));
  }

  function listStops(): readonly string[] {
    return fleet.logLines.filter((line) => line.includes('stop-ordered'));
  }

  function getOwner(): string {
    return fleet.findOwner() as string;
  }

  afterEach(() => fleet.close());

  Object.entries(NEEDS).forEach(([resource, need]) => {
    it(`places no work beyond ${resource} that a host has lost while it ran, and uses it once it is back`, async () => {
      await start(2);
      const jobs = [...(await submitFor(2_000, { need, taskCount: 6, estimateMs: 700 }))];
      fleet.setCapacity('host-0', QUARTER);
      jobs.push(...(await submitFor(8_000, { need, taskCount: 3, estimateMs: 700 })));
      fleet.setCapacity('host-0', LARGE);
      jobs.push(...(await submitFor(6_000, { need, taskCount: 6, estimateMs: 700 })));
      await fleet.time.advance(RECOVERY_MS);
      await expectCompleted(jobs);
      const wide = fleet.submit([{ need, taskCount: 16, estimateMs: 1_000 }]);
      await fleet.time.advance(300);
      expect(fleet.listHosts().map((host) => host.countRuns())).toEqual([8, 8]);
      await fleet.time.advance(RECOVERY_MS);
      await expectCompleted([wide]);
    });
  });

  it('places no work beyond memory that best-effort tasks use, whose CPU does not count', async () => {
    await start(1);
    const need = { cpuMillis: 3_000, memoryMb: 4_000, gpus: 0 };
    fleet.submit([{ ...LASTING, isFilling: true, taskCount: 8, need }]);
    await fleet.time.advance(1_000);
    const serving = fleet.submit([{ taskCount: 8, estimateMs: 500 }]);
    await fleet.time.advance(300);
    expect(fleet.listHosts().map((host) => host.countRuns())).toEqual([16]);
    fleet.setCapacity('host-0', { ...LARGE, memoryMb: 20_000 });
    await fleet.time.advance(SHRUNK_MS);
    const waiting = fleet.submit([{ taskCount: 1, estimateMs: 500 }]);
    await fleet.time.advance(2_000);
    expect(await fleet.findState(waiting)).toEqual(JobState.Queued);
    fleet.setCapacity('host-0', LARGE);
    await fleet.time.advance(RECOVERY_MS);
    await expectCompleted([serving, waiting]);
  });

  it('counts runs whose start or stop was carried out without an answer', async () => {
    await start(2);
    fleet.faults.delayedFraction = 0.4;
    const jobs = [...(await submitFor(2_000, { taskCount: 5, estimateMs: 700 }))];
    fleet.setCapacity('host-0', QUARTER);
    fleet.setCapacity('host-1', { ...LARGE, cpuMillis: 8_000 });
    const cancelled = await submitFor(6_000, { taskCount: 4, estimateMs: 900 });
    cancelled.forEach((id) => fleet.cancel(id));
    jobs.push(...(await submitFor(6_000, { taskCount: 2, estimateMs: 700 })));
    fleet.faults.delayedFraction = 0;
    await fleet.time.advance(4 * RECOVERY_MS);
    await expectCompleted(jobs);
  });

  it('counts a start whose answers are late until the host reports what runs', async () => {
    await start(2);
    fleet.setCapacity('host-0', QUARTER);
    await fleet.time.advance(SHRUNK_MS);
    fleet.faults.lateAnswersMs.set(formatAnswer(OrderKind.Start, 'host-0'), 900);
    const jobs = await submitFor(4_000, { taskCount: 4, estimateMs: 1_200 });
    fleet.faults.lateAnswersMs.clear();
    await fleet.time.advance(RECOVERY_MS);
    await expectCompleted(jobs);
  });

  it('stops nothing on a host that shrinks below what runs on it, and places work elsewhere', async () => {
    await start(2);
    const step = { ...LASTING, taskCount: 8, maxPerHost: 4 };
    fleet.submit([{ ...step, need: { cpuMillis: 2_000, memoryMb: 1_000, gpus: 0 } }]);
    await fleet.time.advance(1_000);
    fleet.setCapacity('host-0', QUARTER);
    await fleet.time.advance(SHRUNK_MS);
    const jobs = await submitFor(2_000, { taskCount: 2, estimateMs: 500 });
    expect(fleet.listHosts().map((host) => host.countRuns() >= 4)).toEqual([true, true]);
    await fleet.time.advance(RECOVERY_MS);
    expect(listStops()).toEqual([]);
    expect(fleet.listHosts().map((host) => host.countRuns())).toEqual([4, 4]);
    await expectCompleted(jobs);
  });

  it('places by the present capacity after a takeover while it shrinks', async () => {
    await start(2);
    const first = fleet.submit([{ taskCount: 8, estimateMs: 4_000 }]);
    await fleet.time.advance(300);
    fleet.setCapacity('host-0', QUARTER);
    await fleet.time.advance(300);
    fleet.killDaemon(getOwner());
    const jobs = await submitFor(8_000, { taskCount: 4, estimateMs: 900 });
    await fleet.time.advance(2 * RECOVERY_MS);
    await expectCompleted([first, ...jobs]);
  });

  it('counts what a new owner stops because its job was cancelled before the takeover', async () => {
    await start(1);
    const former = fleet.submit([{ taskCount: 8, estimateMs: 20_000 }]);
    await fleet.time.advance(500);
    fleet.killDaemon(getOwner());
    fleet.cancel(former);
    const next = fleet.submit([{ taskCount: 8, estimateMs: 500 }]);
    await fleet.time.advance(RECOVERY_MS);
    await expectCompleted([next]);
  });

  it('counts what a new owner stops although no stop is answered at first', async () => {
    await start(1);
    const former = fleet.submit([{ taskCount: 8, estimateMs: 20_000 }]);
    await fleet.time.advance(500);
    fleet.killDaemon(getOwner());
    fleet.cancel(former);
    fleet.faults.lostOrders.add(formatAnswer(OrderKind.Stop, 'host-0'));
    const next = fleet.submit([{ taskCount: 8, estimateMs: 500 }]);
    await fleet.time.advance(5_000);
    fleet.faults.lostOrders.clear();
    await fleet.time.advance(RECOVERY_MS);
    await expectCompleted([next]);
  });

  it('keeps the cap of an organisation while a new owner stops its runs', async () => {
    await start(4);
    const former = fleet.submit([{ taskCount: 20, estimateMs: 20_000 }]);
    await fleet.time.advance(500);
    fleet.killDaemon(getOwner());
    fleet.cancel(former);
    const next = fleet.submit([{ taskCount: 20, estimateMs: 500 }]);
    await fleet.time.advance(RECOVERY_MS);
    await expectCompleted([next]);
  });

  it('places no work by the capacity of seconds ago while its watch of the hosts is not answered', async () => {
    await start(2);
    await fleet.time.advance(500);
    fleet.hangWorkerWatch(getOwner(), true);
    fleet.setCapacity('host-0', QUARTER);
    await fleet.time.advance(SHRUNK_MS);
    const jobs = await submitFor(3_000, { taskCount: 8, estimateMs: 600 });
    fleet.hangWorkerWatch(getOwner(), false);
    await fleet.time.advance(2 * RECOVERY_MS);
    await expectCompleted(jobs);
  });

  it('places no work on a host that has been draining while its watch of the hosts is not answered', async () => {
    await start(2);
    fleet.hangWorkerWatch(getOwner(), true);
    fleet.drainHost('host-0');
    const jobs = await submitFor(5_000, { taskCount: 8, estimateMs: 600 });
    fleet.hangWorkerWatch(getOwner(), false);
    await fleet.time.advance(2 * RECOVERY_MS);
    await expectCompleted(jobs);
  });

  it('places no work after a takeover by hosts that were read seconds before', async () => {
    await start(2);
    const former = getOwner();
    PROCESSES.filter((name) => name !== former).forEach((name) =>
      fleet.hangWorkerWatch(name, true),
    );
    fleet.killDaemon(former);
    while (fleet.findOwnerContext() === null) {
      await fleet.time.advance(50);
    }
    fleet.drainHost('host-0');
    const jobs = await submitFor(5_000, { taskCount: 8, estimateMs: 600 });
    PROCESSES.forEach((name) => fleet.hangWorkerWatch(name, false));
    await fleet.time.advance(2 * RECOVERY_MS);
    await expectCompleted(jobs);
  });

  it('refuses no job that other hosts have room for while one has shrunk below its long running tasks', async () => {
    await start(2);
    fleet.submit([{ ...LASTING, taskCount: 12, maxPerHost: 6 }]);
    await fleet.time.advance(1_000);
    fleet.setCapacity('host-0', { ...LARGE, cpuMillis: 1_000 });
    await fleet.time.advance(SHRUNK_MS);
    const step = { taskCount: 2, estimateMs: 500 };
    expect(await fleet.offer([step])).toEqual({ isWanted: true, refusals: [] });
    const job = fleet.submit([step]);
    await fleet.time.advance(1_000);
    await expectCompleted([job]);
  });

  it('places no work on a restarted host by what its former incarnation reported', async () => {
    await start(2);
    const former = fleet.submit([{ taskCount: 8, maxPerHost: 4, estimateMs: 3_000 }]);
    await fleet.time.advance(500);
    fleet.startHost('host-0', 2_500, QUARTER);
    while (!fleet.logLines.some((line) => line.includes('host-reborn'))) {
      await fleet.time.advance(50);
    }
    const jobs = await submitFor(3_000, { taskCount: 4, estimateMs: 600 });
    await fleet.time.advance(RECOVERY_MS);
    await expectCompleted([former, ...jobs]);
  });
});
