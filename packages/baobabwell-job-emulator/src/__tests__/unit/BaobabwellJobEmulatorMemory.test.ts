import type { StepSpec } from '@baobabwell/jobs';

import { expect } from 'earl';

import { computeMemoryLimits, estimateJobBytes, JobState } from '@baobabwell/jobs';

import { EmulatedJobFleet, PLAIN_STEP } from '../../index';

const SEED = 31;
const START_MS = 1_500;
const SMALL: Partial<StepSpec> = { taskCount: 1, estimateMs: 300 };

/** Tasks of which hosts run thousands at a time. */
const TINY: Partial<StepSpec> = {
  taskCount: 200,
  need: { cpuMillis: 5, memoryMb: 1, gpus: 0 },
  estimateMs: 100,
};

const TINY_BYTES = estimateJobBytes({
  payload: '',
  steps: [{ ...PLAIN_STEP, ...TINY }],
  repeat: null,
});

describe('what the owner of the emulated fleet keeps in memory', () => {
  let fleet: EmulatedJobFleet;

  async function start(): Promise<void> {
    fleet = new EmulatedJobFleet(SEED, 4);
    ['a', 'b', 'c'].forEach((name) => fleet.startDaemon(name));
    await fleet.time.advance(START_MS);
  }

  function setLimits(limits: Partial<EmulatedJobFleet['memoryLimits']>): void {
    fleet.memoryLimits = { ...computeMemoryLimits(200_000_000), ...limits };
  }

  async function listStates(jobs: readonly string[]): Promise<readonly (JobState | null)[]> {
    return Promise.all(jobs.map(async (id) => fleet.findState(id)));
  }

  function getOpenBytes(): number {
    return fleet.findOwnerContext()?.jobRegistry.openBytes ?? 0;
  }

  afterEach(() => fleet.close());

  // Each guards against owners that end one after the other for want of memory.
  it('is bounded for the sum of all jobs, and again after a takeover', async () => {
    await start();
    setLimits({ jobBytes: 3.5 * TINY_BYTES });
    const long = { ...TINY, estimateMs: 4_000 };
    const accepted: string[] = [];
    const refusals: { readonly reason: string; readonly retryAfterMs: number }[] = [];
    const submit = async (): Promise<void> => {
      const { id, offer } = await fleet.submitOffered([long]);
      if (offer?.isWanted === false) {
        refusals.push(offer);
      } else {
        accepted.push(id);
      }
      await fleet.time.advance(20);
    };
    for (let count = 0; count < 6; count += 1) {
      await submit();
    }
    expect([accepted.length, refusals.length]).toEqual([3, 3]);
    expect(refusals.every(({ reason }) => reason.includes('the accepted jobs take'))).toEqual(true);
    fleet.killDaemon(fleet.findOwner() ?? '');
    await fleet.time.advance(3_000);
    await submit();
    expect([accepted.length, getOpenBytes() <= 3.5 * TINY_BYTES]).toEqual([3, true]);
    await fleet.time.advance(20_000);
    expect(await listStates(accepted)).toEqual(accepted.map(() => JobState.Completed));
    await submit();
    expect(accepted.length).toEqual(4);
    expect(fleet.oracle.violations).toEqual([]);
  });

  it('counts admitted jobs that are not stored yet', async () => {
    await start();
    setLimits({ jobBytes: 2.5 * TINY_BYTES });
    const offers = await Promise.all(Array.from({ length: 5 }, async () => fleet.offer([TINY])));
    expect(offers.map((offer) => offer?.isWanted)).toEqual([true, true, false, false, false]);
  });

  [
    { name: 'more tasks than a row can name', step: { ...TINY, taskCount: 2_000_000 } },
    { name: 'a gang that can not start together', step: { taskCount: 50_000, isGang: true } },
    { name: 'more long running tasks than runs', step: { taskCount: 200_000, isLasting: true } },
  ].forEach(({ name, step }) => {
    it(`excludes a job of ${name}, which is told that it never fits`, async () => {
      await start();
      const need = { cpuMillis: 0, memoryMb: 0, gpus: 0 };
      const { offer } = await fleet.submitOffered([{ ...step, need, estimateMs: 1 }]);
      expect(offer?.isWanted === false && offer.reason.includes('it never fits')).toEqual(true);
      const { id, offer: next } = await fleet.submitOffered([SMALL]);
      await fleet.time.advance(2_000);
      expect([next?.isWanted, await fleet.findState(id)]).toEqual([true, JobState.Completed]);
    });
  });

  it('excludes further long running tasks once their share of the runs is accepted', async () => {
    await start();
    setLimits({ runs: 40, longRunningTasks: 30 });
    const lasting = { ...TINY, taskCount: 20, isLasting: true, estimateMs: 0 };
    const first = await fleet.submitOffered([lasting]);
    await fleet.time.advance(500);
    const second = await fleet.submitOffered([lasting]);
    expect([first.offer?.isWanted, second.offer?.isWanted]).toEqual([true, false]);
    const { id } = await fleet.submitOffered([SMALL]);
    await fleet.time.advance(2_000);
    expect(await fleet.findState(id)).toEqual(JobState.Completed);
  });

  it('includes no more runs than memory bears, and all tasks run in turn', async () => {
    await start();
    setLimits({ runs: 50 });
    const jobs = [fleet.submit([TINY]), fleet.submit([TINY]), fleet.submit([SMALL])];
    let mostRuns = 0;
    for (let waitedMs = 0; waitedMs < 6_000; waitedMs += 10) {
      await fleet.time.advance(10);
      const runs = fleet.listHosts().reduce((count, host) => count + host.countRuns(), 0);
      mostRuns = Math.max(mostRuns, runs);
    }
    expect([mostRuns <= 50, mostRuns > 25]).toEqual([true, true]);
    expect(await listStates(jobs)).toEqual(jobs.map(() => JobState.Completed));
    expect(fleet.oracle.violations).toEqual([]);
  });

  it('includes some of the jobs that were stored without an owner, and all run in turn', async () => {
    fleet = new EmulatedJobFleet(SEED, 4);
    setLimits({ tasks: 500 });
    const jobs = Array.from({ length: 12 }, () => fleet.submit([TINY]));
    ['a', 'b', 'c'].forEach((name) => fleet.startDaemon(name));
    await fleet.time.advance(START_MS);
    expect(fleet.oracle.startCount).toBeLessThan(2_400);
    fleet.killDaemon(fleet.findOwner() ?? '');
    await fleet.time.advance(10_000);
    expect(await listStates(jobs)).toEqual(jobs.map(() => JobState.Completed));
    expect(fleet.oracle.violations).toEqual([]);
  });

  it('includes some of a million due occurrences, and other jobs run beside them', async () => {
    await start();
    const repeat = {
      count: 1_000_000,
      firstDueMs: fleet.time.getWallTime() - 1_000_000,
      intervalMs: 1,
    };
    const step = { ...TINY, taskCount: 1 };
    const { id: repeated } = await fleet.submitOffered([step], repeat);
    await fleet.time.advance(300);
    const { id } = await fleet.submitOffered([SMALL]);
    await fleet.time.advance(1_200);
    expect(await listStates([repeated, id])).toEqual([JobState.Running, JobState.Completed]);
    expect(fleet.oracle.startCount).toBeGreaterThan(1_000);
    expect(fleet.oracle.violations).toEqual([]);
  });
});
