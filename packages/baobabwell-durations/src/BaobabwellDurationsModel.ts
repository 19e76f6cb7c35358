import type { StepSpec } from '@baobabwell/jobs';

/** Estimates how long tasks run, in ms. */
export abstract class DurationEstimator {
  /** Returns the expected duration of a task of a step, in ms. */
  abstract getExpectedMs(queue: string, step: StepSpec): number;

  /** Returns the expected remaining time of a run that has been at work for some time, in ms. */
  abstract getRemainingMs(queue: string, step: StepSpec, elapsedMs: number): number;
}

/** Uses the estimates of callers as they are. */
export class CallerEstimates extends DurationEstimator {
  override getExpectedMs(_queue: string, { estimateMs }: StepSpec): number {
    return estimateMs;
  }

  override getRemainingMs(_queue: string, { estimateMs }: StepSpec, elapsedMs: number): number {
    return Math.max(0, estimateMs - elapsedMs);
  }
}
