import type { StepSpec } from '@baobabwell/jobs';

/** Latest reported progress of a run. */
export type RunProgress = {
  readonly percent: number;
  /** Age of the run when the progress was reported, in ms. */
  readonly atElapsedMs: number;
};

/** Estimates how long tasks run, in ms. */
export abstract class DurationEstimator {
  /** Changes when predictions may have changed; callers may keep what they derive from them until then. */
  abstract readonly version: number;

  /** Returns the expected duration of a task of a step, in ms. */
  abstract getExpectedMs(queue: string, step: StepSpec): number;

  /** Returns the expected duration of the longest task of a step, in ms. */
  abstract getLongestMs(queue: string, step: StepSpec): number;

  /** Returns the expected remaining time of a run that has been at work for some time, in ms. */
  abstract getRemainingMs(
    queue: string,
    step: StepSpec,
    elapsedMs: number,
    progress?: RunProgress | null,
  ): number;
}

/** Uses the estimates of callers as they are. */
export class CallerEstimates extends DurationEstimator {
  override readonly version = 0;

  override getExpectedMs(_queue: string, { estimateMs }: StepSpec): number {
    return estimateMs;
  }

  override getLongestMs(_queue: string, { estimateMs }: StepSpec): number {
    return estimateMs;
  }

  override getRemainingMs(_queue: string, { estimateMs }: StepSpec, elapsedMs: number): number {
    return Math.max(0, estimateMs - elapsedMs);
  }
}

/** How much of the duration of a run is known. */
export enum RunCompleteness {
  /** The run did the whole work of its task. */
  Whole = 'whole',
  /** The run was ended before: its duration is a lower bound. */
  Partial = 'partial',
}

/** A run that ended. */
export type RunDuration = {
  readonly queue: string;
  readonly step: StepSpec;
  /** Duration on a sound host near the data of the task, in ms. */
  readonly durationMs: number;
  readonly completeness: RunCompleteness;
  /** Share of the started tasks of the step that are done, this one included. */
  readonly doneShare: number;
  /** Progress that was reported last before the end; `null` if there was none. */
  readonly progress: RunProgress | null;
};

/** |log(actual / predicted)| of one run. */
export type DurationErrors = {
  readonly caller: number;
  readonly learned: number;
};

/** What an estimator has learned of a queue. */
export type LearnedQueue = {
  readonly queue: string;
  /** Whole runs since the estimator was created. */
  readonly runs: number;
  /** Mean of |log(actual / predicted)| by the callers' estimates, by what was learned, and by progress. */
  readonly callerError: number;
  readonly learnedError: number;
  readonly progressError: number;
  /** Change of the predicted log duration per change of the log estimate: 0 if estimates say nothing. */
  readonly slope: number;
  /** Mean, median and 99th percentile of actual / predicted. */
  readonly meanRatio: number;
  readonly medianRatio: number;
  readonly tailRatio: number;
};
