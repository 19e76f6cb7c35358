/**
 * Load pattern: callers' estimates are off by a factor whose spread differs by queue, tasks of one step
 * resemble each other, and a few tasks take many times as long as the others.
 */
import type {
  DurationErrors,
  LearnedQueue,
  RunDuration,
  RunProgress,
} from './BaobabwellDurationsModel';
import type { QueueModelState } from './BaobabwellDurationsQueue';
import type { StepSpec } from '@baobabwell/jobs';

import { DurationEstimator, RunCompleteness } from './BaobabwellDurationsModel';
import { QueueModel } from './BaobabwellDurationsQueue';

/** Shortest time between two changes of the version, in ms. */
const VERSION_INTERVAL_MS = 250;

/** Progress below which a run is not projected, in percent. */
const MIN_PROGRESS_PERCENT = 5;

/** Steps with observed projections from which these are trusted. */
const MIN_PROGRESS_WEIGHT = 3;

/** Mean |log ratio| of projections up to which these are trusted even if predictions are better. */
const MAX_PROGRESS_ERROR = 0.1;

/** Smallest variance of tasks of one step, so that a few equal ones do not decide alone. */
const MIN_WITHIN_VARIANCE = 0.01;

/** Mean deviation of the shortest of many equal tasks, in standard deviations by the share left. */
const SHORTEST_BIAS = 1.7;

/** Range of predictions, in ms. */
const MIN_PREDICTION_MS = 1;
const MAX_PREDICTION_MS = 1e9;

/** Finished tasks of a step, as deviations of their logarithms from the prediction. */
type StepEvidence = { count: number; sum: number; mean: number };

type CachedPrediction = {
  version: number;
  baseMs: number;
  expectedMs: number;
  longestMs: number;
};

function getLogEstimate({ estimateMs }: StepSpec): number {
  return Math.log(Math.max(MIN_PREDICTION_MS, estimateMs));
}

/** Names the kind of a step: its position and the class of its CPU. */
function getKind({ after, need, keepsCheckpoints }: StepSpec): string {
  const cpuClass = Math.round(Math.log2(Math.max(1, need.cpuMillis)));
  return `${after.length > 0 ? 'later' : 'first'}/${cpuClass}/${keepsCheckpoints ? 'saved' : 'plain'}`;
}

/** Expected largest of a number of standard normal values, approximately. */
function getExpectedMaximum(count: number): number {
  return count <= 1 ? 0 : Math.sqrt(2 * Math.log(count)) - 0.3 / Math.sqrt(Math.log(count));
}

function clampPrediction(valueMs: number): number {
  return Math.min(MAX_PREDICTION_MS, Math.max(MIN_PREDICTION_MS, valueMs));
}

function projectMs({ percent, atElapsedMs }: RunProgress): number {
  return (atElapsedMs * 100) / percent;
}

function canProject(progress: RunProgress | null): progress is RunProgress {
  return progress !== null && progress.percent >= MIN_PROGRESS_PERCENT && progress.percent < 100;
}

/** Learns from finished runs how long tasks of each queue run, and how far estimates can be trusted. */
export class LearnedDurations extends DurationEstimator {
  readonly #queues = new Map<string, QueueModel>();

  readonly #steps = new WeakMap<StepSpec, StepEvidence>();

  readonly #predictions = new WeakMap<StepSpec, CachedPrediction>();

  readonly #getNow: () => number;

  #version = 0;

  #versionAtMs = -Infinity;

  /** @param getNow returns the monotonic time, in ms. */
  constructor(getNow: () => number) {
    super();
    this.#getNow = getNow;
  }

  override get version(): number {
    return this.#version;
  }

  override getExpectedMs(queue: string, step: StepSpec): number {
    const model = this.#findModel(queue, step);
    return model === null ? step.estimateMs : this.#getPrediction(model, step).expectedMs;
  }

  override getLongestMs(queue: string, step: StepSpec): number {
    const model = this.#findModel(queue, step);
    return model === null ? step.estimateMs : this.#getPrediction(model, step).longestMs;
  }

  override getRemainingMs(
    queue: string,
    step: StepSpec,
    elapsedMs: number,
    progress: RunProgress | null = null,
  ): number {
    if (step.isLasting) {
      return 0;
    }
    const model = this.#queues.get(queue) ?? this.#addQueue(queue);
    if (canProject(progress) && this.#isProgressTrusted(model)) {
      return Math.max(0, projectMs(progress) - elapsedMs);
    }
    const { baseMs } = this.#getPrediction(model, step);
    return baseMs * model.ratios.getMeanExcess(Math.max(0, elapsedMs) / baseMs);
  }

  /** Learns from a run that ended; returns by how much the predictions for a whole run were off. */
  recordRun(run: RunDuration): DurationErrors | null {
    const { queue, step, durationMs, completeness } = run;
    if (step.isLasting || !(durationMs > 0)) {
      return null;
    }
    const model = this.#queues.get(queue) ?? this.#addQueue(queue);
    let errors: DurationErrors | null = null;
    if (completeness === RunCompleteness.Whole) {
      errors = this.#recordWhole(model, run);
    } else {
      const { baseMs } = this.#getPrediction(model, step);
      model.ratios.addAtLeast(durationMs / baseMs, 1 / Math.max(1, step.taskCount));
    }
    const nowMs = this.#getNow();
    if (nowMs - this.#versionAtMs >= VERSION_INTERVAL_MS) {
      this.#versionAtMs = nowMs;
      this.#version += 1;
    }
    return errors;
  }

  /** Lists what was learned, by queue. */
  listLearned(): readonly LearnedQueue[] {
    return [...this.#queues].map(([queue, model]) => ({
      queue,
      runs: model.runs,
      callerError: model.callerError.get(0, 0),
      learnedError: model.learnedError.get(0, 0),
      progressError: model.progressError.get(0, 0),
      slope: model.regression.getSlope(),
      meanRatio: model.ratios.getMean(),
      medianRatio: model.ratios.getQuantile(0.5),
      tailRatio: model.ratios.getQuantile(0.99),
    }));
  }

  /** Lists the state of each queue, to be restored by a later owner. */
  listStates(): readonly (readonly [string, QueueModelState])[] {
    return [...this.#queues].map(([queue, model]) => [queue, model.getState()]);
  }

  /** Goes on from the state of a former owner, for queues of which nothing was learned yet. */
  restoreStates(states: readonly (readonly [string, QueueModelState])[]): void {
    states
      .filter(([queue]) => (this.#queues.get(queue)?.runs ?? 0) === 0)
      .forEach(([queue, state]) => this.#queues.set(queue, new QueueModel(state)));
    this.#version += 1;
  }

  #addQueue(queue: string): QueueModel {
    const model = new QueueModel();
    this.#queues.set(queue, model);
    return model;
  }

  /** Finds the model to predict a step with; `null` if the estimate counts. */
  #findModel(queue: string, { isLasting }: StepSpec): QueueModel | null {
    return isLasting ? null : (this.#queues.get(queue) ?? null);
  }

  #recordWhole(model: QueueModel, run: RunDuration): DurationErrors {
    const { step, durationMs, doneShare, progress } = run;
    const learned = model;
    const weight = 1 / Math.max(1, step.taskCount);
    const kind = getKind(step);
    const logEstimate = getLogEstimate(step);
    const logDuration = Math.log(clampPrediction(durationMs));
    const { baseMs } = this.#getPrediction(model, step);
    const deviation = logDuration - model.predict(kind, logEstimate);
    const errors = {
      caller: Math.abs(logDuration - logEstimate),
      learned: Math.abs(logDuration - Math.log(baseMs)),
    };
    learned.runs += 1;
    model.callerError.add(errors.caller, weight);
    model.learnedError.add(errors.learned, weight);
    if (canProject(progress)) {
      model.progressError.add(Math.abs(Math.log(durationMs / projectMs(progress))), weight);
    }
    // Errors from before the regression had evidence say nothing of later predictions.
    model.ratios.add(durationMs / baseMs, weight * model.regression.getTrust());
    model.total.add(deviation ** 2, weight);
    this.#addToStep(model, run, deviation, doneShare);
    model.addWhole(kind, logEstimate, logDuration, weight);
    return errors;
  }

  /** Adds a finished task to the evidence of its step, of which the shortest tasks end first. */
  #addToStep(model: QueueModel, { step }: RunDuration, deviation: number, doneShare: number): void {
    const evidence = this.#steps.get(step) ?? { count: 0, sum: 0, mean: 0 };
    const { count, sum } = evidence;
    if (count > 0) {
      const squared = (deviation - sum / count) ** 2 * (count / (count + 1));
      model.withinStep.add(squared, 1 / Math.max(1, step.taskCount));
    }
    evidence.count += 1;
    evidence.sum += deviation;
    const spread = Math.sqrt(model.getWithinVariance());
    const share = Math.min(1, Math.max(0, doneShare));
    evidence.mean = evidence.sum / evidence.count + SHORTEST_BIAS * (1 - share) * spread;
    this.#steps.set(step, evidence);
    this.#predictions.delete(step);
  }

  #isProgressTrusted({ progressError, learnedError }: QueueModel): boolean {
    const maxError = Math.max(MAX_PROGRESS_ERROR, learnedError.get(0, 0));
    return progressError.weight >= MIN_PROGRESS_WEIGHT && progressError.get(0, 0) < maxError;
  }

  #getPrediction(model: QueueModel, step: StepSpec): CachedPrediction {
    const cached = this.#predictions.get(step);
    if (cached?.version === this.#version) {
      return cached;
    }
    const within = Math.max(MIN_WITHIN_VARIANCE, model.getWithinVariance());
    const evidence = this.#steps.get(step);
    let logMs = model.predict(getKind(step), getLogEstimate(step));
    if (evidence !== undefined) {
      const between = model.getBetweenVariance() * evidence.count;
      logMs += (between / (between + within)) * evidence.mean;
    }
    // A restored state may hold sums that fit no durations.
    const baseMs = clampPrediction(Math.exp(Number.isNaN(logMs) ? getLogEstimate(step) : logMs));
    const spread = Math.sqrt(within) * model.getWithinTrust();
    const prediction = {
      version: this.#version,
      baseMs,
      expectedMs: clampPrediction(baseMs * model.ratios.getMean()),
      longestMs: clampPrediction(baseMs * Math.exp(spread * getExpectedMaximum(step.taskCount))),
    };
    this.#predictions.set(step, prediction);
    return prediction;
  }
}
