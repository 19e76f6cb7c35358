import type { LearnedQueue } from '../../index';
import type { StepSpec } from '@baobabwell/jobs';

import { expect } from 'earl';
import fc from 'fast-check';

import { PLAIN_STEP } from '@baobabwell/job-emulator';

import { formatDurations, LearnedDurations, parseDurations, RunCompleteness } from '../../index';

const QUEUE = 'bakes';
const MEAN_MS = 1_000;

function createStep(estimateMs: number, fields: Partial<StepSpec> = {}): StepSpec {
  return { ...PLAIN_STEP, taskCount: 1, ...fields, estimateMs };
}

function getLearned(estimator: LearnedDurations): LearnedQueue {
  const [learned] = estimator.listLearned();
  if (learned === undefined) {
    throw new Error('nothing was learned');
  }
  return learned;
}

/** Deterministic standard normal values. */
function createNormal(): () => number {
  let state = 12_345;
  const next = () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    return (state + 0.5) / 2_147_483_648;
  };
  return () => Math.sqrt(-2 * Math.log(next())) * Math.cos(2 * Math.PI * next());
}

type Replay = { readonly estimator: LearnedDurations; readonly error: (from: number) => number };

/** Replays steps of tasks; returns the mean |log ratio| of predictions made before each step ran. */
function replaySteps(
  count: number,
  createTask: (index: number) => { readonly estimateMs: number; readonly durationsMs: number[] },
): Replay {
  let nowMs = 0;
  const estimator = new LearnedDurations(() => nowMs);
  const errors: number[] = [];
  for (let index = 0; index < count; index += 1) {
    const { estimateMs, durationsMs } = createTask(index);
    const step = createStep(estimateMs, { taskCount: durationsMs.length });
    const expectedMs = estimator.getExpectedMs(QUEUE, step);
    durationsMs
      .toSorted((left, right) => left - right)
      .forEach((durationMs, done) => {
        nowMs += 100;
        errors.push(Math.abs(Math.log(durationMs / expectedMs)));
        estimator.recordRun({
          queue: QUEUE,
          step,
          durationMs,
          completeness: RunCompleteness.Whole,
          doneShare: (done + 1) / durationsMs.length,
          progress: null,
        });
      });
  }
  return {
    estimator,
    error: (from) => {
      const late = errors.slice(from);
      return late.reduce((sum, error) => sum + error, 0) / late.length;
    },
  };
}

describe('LearnedDurations', () => {
  it('predicts the estimate without evidence', () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 1e7 }), (estimateMs) => {
        const estimator = new LearnedDurations(() => 0);
        const step = createStep(estimateMs, { taskCount: 8 });
        expect(estimator.getExpectedMs(QUEUE, step)).toEqual(estimateMs);
        expect(estimator.getLongestMs(QUEUE, step)).toEqual(estimateMs);
        const remainingMs = estimator.getRemainingMs(QUEUE, step, 0);
        expect(remainingMs / estimateMs).toBeCloseTo(1, 0.001);
      }),
    );
  });

  it('gives positive, finite predictions and remaining times after any runs', () => {
    const run = fc.record({
      estimateMs: fc.integer({ min: 0, max: 1e7 }),
      durationMs: fc.double({ min: -10, max: 1e8, noNaN: true }),
      taskCount: fc.integer({ min: 1, max: 40 }),
      doneShare: fc.double({ min: 0, max: 1, noNaN: true }),
      isWhole: fc.boolean(),
      percent: fc.integer({ min: 0, max: 100 }),
    });
    fc.assert(
      fc.property(fc.array(run), fc.double({ min: 0, max: 1e8, noNaN: true }), (runs, ageMs) => {
        const estimator = new LearnedDurations(() => 0);
        runs.forEach(({ estimateMs, taskCount, percent, isWhole, ...fields }) => {
          const progress = { percent, atElapsedMs: ageMs };
          const step = createStep(estimateMs, { taskCount });
          estimator.recordRun({
            ...fields,
            queue: QUEUE,
            step,
            completeness: isWhole ? RunCompleteness.Whole : RunCompleteness.Partial,
            progress: isWhole ? progress : null,
          });
          const predictions = [
            estimator.getExpectedMs(QUEUE, createStep(Math.max(1, estimateMs))),
            estimator.getLongestMs(QUEUE, createStep(Math.max(1, estimateMs))),
          ];
          expect(predictions.every((ms) => Number.isFinite(ms) && ms > 0)).toEqual(true);
          const remainingMs = estimator.getRemainingMs(QUEUE, step, ageMs, progress);
          expect(Number.isFinite(remainingMs) && remainingMs >= 0).toEqual(true);
        });
      }),
    );
  });

  it('comes closer to the true factor with each further equal run', () => {
    fc.assert(
      fc.property(fc.double({ min: 0.1, max: 10, noNaN: true }), (factor) => {
        const estimator = new LearnedDurations(() => 0);
        let distance = Infinity;
        for (let index = 0; index < 40; index += 1) {
          const step = createStep(MEAN_MS);
          const before = Math.abs(Math.log(estimator.getLongestMs(QUEUE, step) / MEAN_MS / factor));
          expect(before).toBeLessThanOrEqual(distance + 0.02);
          distance = before;
          estimator.recordRun({
            queue: QUEUE,
            step,
            durationMs: MEAN_MS * factor,
            completeness: RunCompleteness.Whole,
            doneShare: 1,
            progress: null,
          });
        }
        expect(distance).toBeLessThan(0.6);
      }),
    );
  });

  it('stays with estimates that are exact', () => {
    const normal = createNormal();
    const { error, estimator } = replaySteps(300, () => {
      const durationMs = MEAN_MS * Math.exp(0.5 * normal());
      return { estimateMs: durationMs, durationsMs: [durationMs] };
    });
    expect(error(0)).toBeLessThan(0.05);
    expect(getLearned(estimator).slope).toBeCloseTo(1, 0.05);
  });

  it('leaves estimates that say nothing', () => {
    const normal = createNormal();
    const { error, estimator } = replaySteps(400, () => ({
      estimateMs: MEAN_MS * Math.exp(normal()),
      durationsMs: [MEAN_MS * Math.exp(0.3 * normal())],
    }));
    const learned = getLearned(estimator);
    expect(learned.slope).toBeCloseTo(0, 0.1);
    expect(error(200)).toBeLessThan(0.3);
    expect(learned.callerError).toBeGreaterThan(0.7);
  });

  it('learns from the finished tasks of a step', () => {
    const estimator = new LearnedDurations(() => 0);
    const step = createStep(MEAN_MS, { taskCount: 8 });
    const other = createStep(MEAN_MS, { taskCount: 8 });
    for (let done = 1; done <= 4; done += 1) {
      estimator.recordRun({
        queue: QUEUE,
        step,
        durationMs: 3 * MEAN_MS,
        completeness: RunCompleteness.Whole,
        doneShare: 1,
        progress: null,
      });
    }
    expect(estimator.getExpectedMs(QUEUE, step)).toBeGreaterThan(2 * MEAN_MS);
    expect(estimator.getExpectedMs(QUEUE, other)).toBeLessThan(1.5 * MEAN_MS);
  });

  it('expects a run that has outlived the others to go on for long', () => {
    const normal = createNormal();
    const { estimator } = replaySteps(300, () => ({
      estimateMs: MEAN_MS,
      durationsMs: Array.from(
        { length: 8 },
        () => MEAN_MS * Math.exp(0.2 * normal()) * (normal() > 1.88 ? 7 : 1),
      ),
    }));
    const step = createStep(MEAN_MS);
    const freshMs = estimator.getExpectedMs(QUEUE, step);
    expect(freshMs / MEAN_MS).toBeCloseTo(1.2, 0.15);
    expect(estimator.getRemainingMs(QUEUE, step, 2.5 * MEAN_MS)).toBeGreaterThan(3 * MEAN_MS);
    expect(estimator.getRemainingMs(QUEUE, step, MEAN_MS)).toBeLessThan(freshMs);
  });

  it('counts a run that was ended early as at least as long', () => {
    const estimator = new LearnedDurations(() => 0);
    const step = createStep(MEAN_MS);
    for (let index = 0; index < 20; index += 1) {
      estimator.recordRun({
        queue: QUEUE,
        step,
        durationMs: 4 * MEAN_MS,
        completeness: RunCompleteness.Partial,
        doneShare: 1,
        progress: null,
      });
    }
    expect(getLearned(estimator).meanRatio).toBeGreaterThan(3);
  });

  it('projects progress once that proved better than the prediction', () => {
    const estimator = new LearnedDurations(() => 0);
    const normal = createNormal();
    for (let index = 0; index < 20; index += 1) {
      const durationMs = MEAN_MS * Math.exp(0.5 * normal());
      estimator.recordRun({
        queue: QUEUE,
        step: createStep(MEAN_MS),
        durationMs,
        completeness: RunCompleteness.Whole,
        doneShare: 1,
        progress: { percent: 50, atElapsedMs: durationMs / 2 },
      });
    }
    const progress = { percent: 25, atElapsedMs: 2_000 };
    expect(estimator.getRemainingMs(QUEUE, createStep(MEAN_MS), 2_500, progress)).toEqual(5_500);
  });

  it('goes on from a stored state', () => {
    const normal = createNormal();
    const { estimator } = replaySteps(200, () => ({
      estimateMs: MEAN_MS * Math.exp(0.9 * normal()),
      durationsMs: [2 * MEAN_MS * Math.exp(0.3 * normal())],
    }));
    const stored: unknown = JSON.parse(JSON.stringify(formatDurations(estimator.listStates())));
    const successor = new LearnedDurations(() => 0);
    successor.restoreStates(parseDurations(stored) ?? []);
    [200, 1_000, 5_000].forEach((estimateMs) => {
      const step = createStep(estimateMs);
      const ratio = successor.getExpectedMs(QUEUE, step) / estimator.getExpectedMs(QUEUE, step);
      expect(ratio).toBeCloseTo(1, 0.01);
    });
  });

  it('ignores a state that is corrupt or of another version', () => {
    fc.assert(
      fc.property(fc.jsonValue(), (value) => {
        expect(parseDurations(value)).toEqual(null);
      }),
    );
    expect(parseDurations({ version: 2, queues: [] })).toEqual(null);
    expect(parseDurations({ version: 1, queues: [] })).toEqual([]);
  });

  it('bounds the size of the stored state', () => {
    const estimator = new LearnedDurations(() => 0);
    for (let index = 0; index < 5_000; index += 1) {
      estimator.recordRun({
        queue: `queue-${index % 100}`,
        step: createStep(100 + index, {
          need: { cpuMillis: 2 ** (index % 30), memoryMb: 1, gpus: 0 },
        }),
        durationMs: 100 + index * 7,
        completeness: RunCompleteness.Whole,
        doneShare: 1,
        progress: null,
      });
    }
    const text = JSON.stringify(formatDurations(estimator.listStates()));
    expect(text.length).toBeLessThan(16_384);
  });
});
