import type { StepUrgency } from '../../index';

import { expect } from 'earl';

import { Random } from '@baobabwell/utils';

import { compareUrgency } from '../../index';

/**
 * Simulates a burst of jobs with two steps that demands half as much again as the pool can do. Durations
 * differ from their estimates by up to a third, as those of callers do.
 */
const SLOTS = 20;
const STEP_MS = 20;
const ESTIMATE_MS = 640;
const MAX_WAIT_MS = 1_300;
const BURST_MS = 8_000;
const ARRIVAL_CHANCE = 0.47;
const SPREAD = 0.3;

type SimulatedJob = {
  readonly dueMs: number;
  readonly durationsMs: readonly [number, number];
  step: 0 | 1;
  endsAtMs: number | null;
};

type Compare = (left: StepUrgency, right: StepUrgency) => number;

/** Steps in time before late ones, each by due time. */
function compareDueTimes(left: StepUrgency, right: StepUrgency): number {
  return Number(left.laxityMs < -150) - Number(right.laxityMs < -150) || left.dueMs - right.dueMs;
}

function getJobUrgency({ dueMs, step }: SimulatedJob, nowMs: number): StepUrgency {
  return {
    priority: 0,
    isLongRunning: false,
    isBestEffort: false,
    hasStarted: step === 1,
    maxWaitMs: MAX_WAIT_MS,
    laxityMs: dueMs - nowMs - (2 - step) * ESTIMATE_MS,
    dueMs,
  };
}

/** Returns the numbers of jobs that arrived, that were done in time, and that were done at all. */
function simulateBurst(compare: Compare): { arrived: number; inTime: number; done: number } {
  const random = new Random(37);
  const getDuration = () => ESTIMATE_MS * (1 - SPREAD + 2 * SPREAD * random.getFraction());
  const counts = { arrived: 0, inTime: 0, done: 0 };
  let jobs: SimulatedJob[] = [];
  for (let nowMs = 0; nowMs < 3 * BURST_MS; nowMs += STEP_MS) {
    jobs
      .filter(({ endsAtMs }) => endsAtMs !== null && endsAtMs <= nowMs)
      .forEach((ended) => {
        const job = ended;
        job.endsAtMs = null;
        if (job.step === 0) {
          job.step = 1;
          return;
        }
        counts.done += 1;
        counts.inTime += nowMs <= job.dueMs ? 1 : 0;
        jobs = jobs.filter((other) => other !== job);
      });
    if (nowMs < BURST_MS && random.getFraction() < ARRIVAL_CHANCE) {
      counts.arrived += 1;
      const durationsMs: readonly [number, number] = [getDuration(), getDuration()];
      jobs.push({
        dueMs: nowMs + MAX_WAIT_MS + 2 * ESTIMATE_MS,
        durationsMs,
        step: 0,
        endsAtMs: null,
      });
    }
    const waiting = jobs
      .filter(({ endsAtMs }) => endsAtMs === null)
      .map((job) => ({ job, urgency: getJobUrgency(job, nowMs) }))
      .toSorted((left, right) => compare(left.urgency, right.urgency));
    waiting.slice(0, SLOTS - (jobs.length - waiting.length)).forEach(({ job }) => {
      Object.assign(job, { endsAtMs: nowMs + job.durationsMs[job.step] });
    });
  }
  return counts;
}

describe('order under overload', () => {
  it('completes more jobs in time than the order of due times, and all in the end', () => {
    const byDueTimes = simulateBurst(compareDueTimes);
    const byUrgency = simulateBurst(compareUrgency);
    expect(byUrgency.arrived).toEqual(byDueTimes.arrived);
    expect(byUrgency.done).toEqual(byUrgency.arrived);
    expect(byUrgency.inTime > 1.25 * byDueTimes.inTime).toEqual(true);
  });

  it('places a job at risk behind others, but not one that has started', () => {
    const urgency: StepUrgency = {
      priority: 0,
      isLongRunning: false,
      isBestEffort: false,
      hasStarted: false,
      maxWaitMs: 1_000,
      laxityMs: 600,
      dueMs: 3_000,
    };
    const atRisk = { ...urgency, laxityMs: 200, dueMs: 2_000 };
    const started = { ...atRisk, hasStarted: true };
    const late = { ...started, laxityMs: -200, dueMs: 1_000 };
    expect([late, atRisk, urgency, started].toSorted(compareUrgency)).toEqual([
      started,
      urgency,
      atRisk,
      late,
    ]);
  });
});
