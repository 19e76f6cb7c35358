import type { ProcessorCosts } from '../../index';
import type { StepSpec } from '@baobabwell/jobs';

import { expect } from 'earl';

import { JobState } from '@baobabwell/jobs';
import { Random } from '@baobabwell/utils';

import { EmulatedJobFleet, scaleCosts } from '../../index';

const SEEDS = [1, 2];
const HOST_COUNT = 40;
const START_MS = 2_000;

/** Times at which the turn begins and ends, in ms after the first job. */
const TURN_MS = 1_500;
const END_MS = 7_500;

/** Time after the last job within which all accepted ones have ended, in ms. */
const DRAIN_MS = 10_000;

/** Interval between two jobs before the turn and in it, in ms. */
const CALM_INTERVAL_MS = 40;
const TURN_INTERVAL_MS = 15;

/** Interval at which callers ask for the state of a job that is late, in ms. */
const POLL_INTERVAL_MS = 500;

/** Longest time for the turns of one test, in ms. */
const TIMEOUT_MS = 90_000;

/**
 * Most that a tenth of the processor may cost, as a share of the jobs in time: what is missing, and half as
 * much again for offers and reads, which take their time whether or not a job is done.
 */
const MAX_LOSS = 0.15;

/** Most jobs that may be accepted and be late, as a share. */
const MAX_LATE = 0.1;

/** Shortest delay after which a refused job may be offered again, in ms. */
const MIN_RETRY_MS = 1_000;

/** What an owner spends; in the turn all of its time. */
const COSTS: ProcessorCosts = {
  startMs: 2.7,
  requestMs: 0.9,
  activitiesMs: {
    admission: 1.5,
    copies: 2.7,
    fleet: 3.3,
    holds: 0.9,
    order: 1.3,
    placement: 1.8,
    reports: 0.7,
    storage: 0.7,
    watches: 0.7,
  },
};

const SMALL_TASK: Partial<StepSpec> = { need: { cpuMillis: 100, memoryMb: 100, gpus: 0 } };

/** Jobs of one step, of two steps, of a few tasks and of many. */
const JOBS: readonly (readonly Partial<StepSpec>[])[] = [
  [{ ...SMALL_TASK, taskCount: 4, estimateMs: 500 }],
  [
    { ...SMALL_TASK, taskCount: 2, estimateMs: 300 },
    { ...SMALL_TASK, taskCount: 2, estimateMs: 300, after: [0] },
  ],
  [{ ...SMALL_TASK, taskCount: 10, estimateMs: 800 }],
  [{ ...SMALL_TASK, taskCount: 1, estimateMs: 400 }],
];

/** How the jobs of one emulated turn fared. */
type TurnResult = {
  readonly jobCount: number;
  readonly inTimeCount: number;
  readonly lateCount: number;
  readonly retryAfterMs: readonly number[];
  readonly violationCount: number;
};

/** Emulates a turn with a share of the processor that it takes. */
async function runTurn(seed: number, processorShare: number): Promise<TurnResult> {
  const fleet = new EmulatedJobFleet(seed, HOST_COUNT);
  const random = new Random(seed);
  fleet.processorCosts = scaleCosts(COSTS, 1 / processorShare);
  fleet.startDaemon('a');
  await fleet.time.advance(START_MS);
  const retryAfterMs: number[] = [];
  const submissions: Promise<void>[] = [];
  const startMs = fleet.time.getNow();
  let jobCount = 0;

  async function pollWhileLate(id: string): Promise<void> {
    let isDone = false;
    while (!isDone && fleet.time.getNow() < startMs + END_MS + DRAIN_MS) {
      await fleet.time.wait(POLL_INTERVAL_MS);
      isDone = (await fleet.findState(id)) === JobState.Completed;
    }
  }

  async function submit(): Promise<void> {
    const steps = JOBS[random.getInteger(JOBS.length)] ?? [];
    const { id, offer } = await fleet.submitOffered(steps);
    if (offer?.isWanted === false) {
      retryAfterMs.push(offer.retryAfterMs);
    } else {
      await fleet.time.wait(2 * POLL_INTERVAL_MS);
      void pollWhileLate(id);
    }
  }

  let atMs = 0;
  while (atMs < END_MS) {
    submissions.push(submit());
    jobCount += 1;
    const intervalMs = atMs < TURN_MS ? CALM_INTERVAL_MS : TURN_INTERVAL_MS;
    await fleet.time.advance(intervalMs);
    atMs += intervalMs;
  }
  await fleet.time.advance(DRAIN_MS);
  await Promise.all(submissions);
  const completed = fleet.logLines
    .map((line) => /event=job-completed .*tookMs=(\d+) objectiveMs=(\d+)/.exec(line))
    .filter((match) => match !== null);
  const inTimeCount = completed.filter(
    ([, tookMs, objectiveMs]) => Number(tookMs) <= Number(objectiveMs),
  ).length;
  fleet.close();
  return {
    jobCount,
    inTimeCount,
    lateCount: completed.length - inTimeCount,
    retryAfterMs,
    violationCount: fleet.oracle.violations.length,
  };
}

/** Emulates a turn with each seed, and adds the results. */
async function runTurns(processorShare: number): Promise<TurnResult> {
  const results: TurnResult[] = [];
  for (const seed of SEEDS) {
    results.push(await runTurn(seed, processorShare));
  }
  const sum = (get: (result: TurnResult) => number): number =>
    results.reduce((total, result) => total + get(result), 0);
  return {
    jobCount: sum(({ jobCount }) => jobCount),
    inTimeCount: sum(({ inTimeCount }) => inTimeCount),
    lateCount: sum(({ lateCount }) => lateCount),
    retryAfterMs: results.flatMap(({ retryAfterMs }) => retryAfterMs),
    violationCount: sum(({ violationCount }) => violationCount),
  };
}

describe('an emulated owner whose processor is full', function suite() {
  this.timeout(TIMEOUT_MS);

  it('does all jobs of a turn in time with a quarter more than it takes', async () => {
    const { jobCount, inTimeCount, violationCount } = await runTurns(1.25);
    expect(inTimeCount).toEqual(jobCount);
    expect(violationCount).toEqual(0);
  });

  it('does jobs in time in proportion to the processor that it has', async () => {
    const shares: number[] = [];
    for (const processorShare of [1, 0.9, 0.8, 0.7]) {
      const { jobCount, inTimeCount } = await runTurns(processorShare);
      shares.push(inTimeCount / jobCount);
    }
    const losses = shares.slice(1).map((share, index) => (shares[index] ?? 0) - share);
    expect(Math.max(...losses)).toBeLessThanOrEqual(MAX_LOSS);
  });

  it('refuses at once what it can not do in time', async () => {
    const { jobCount, lateCount, retryAfterMs } = await runTurns(0.8);
    expect(retryAfterMs.every((delayMs) => delayMs >= MIN_RETRY_MS)).toEqual(true);
    expect(lateCount / jobCount).toBeLessThanOrEqual(MAX_LATE);
  });
});
