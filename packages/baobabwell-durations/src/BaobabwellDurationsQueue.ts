import type { RegressionSums } from './BaobabwellDurationsRegression';

import { RatioDistribution } from './BaobabwellDurationsRatios';
import { DecayedRegression } from './BaobabwellDurationsRegression';

/** Steps whose evidence is remembered. */
const MEMORY_STEPS = 400;

/** Weight of the assumption that a kind of step is like the queue, in steps. */
const KIND_PRIOR_WEIGHT = 5;

/** Variances of the logarithm that are assumed without evidence, and their weight in steps. */
const PRIOR_WITHIN_VARIANCE = 0.1;
const PRIOR_TOTAL_VARIANCE = 0.25;
const VARIANCE_PRIOR_WEIGHT = 5;

/** Mean whose evidence decays. */
export class DecayedMean {
  constructor(
    public sum = 0,
    public weight = 0,
  ) {}

  add(value: number, weight: number): void {
    const keep = 1 - weight / MEMORY_STEPS;
    this.sum = this.sum * keep + value * weight;
    this.weight = this.weight * keep + weight;
  }

  /** Returns the mean, drawn towards an assumed value by the weight of that assumption. */
  get(assumed: number, assumedWeight: number): number {
    const weight = this.weight + assumedWeight;
    return weight === 0 ? assumed : (this.sum + assumed * assumedWeight) / weight;
  }
}

/** Mean logarithms of estimates and durations of a kind of step. */
export type KindEvidence = { readonly estimate: DecayedMean; readonly duration: DecayedMean };

/** State of a {@link QueueModel} that a later owner can go on from. */
export type QueueModelState = {
  readonly regression: RegressionSums;
  readonly ratios: readonly number[];
  readonly means: readonly (readonly [number, number])[];
  /** Name, sums of the logarithms of estimates and durations, and weight of each kind of step. */
  readonly kinds: readonly (readonly [string, number, number, number])[];
};

/** What was learned of the durations of a queue, all of them as logarithms. */
export class QueueModel {
  readonly regression: DecayedRegression;

  readonly ratios: RatioDistribution;

  readonly kinds = new Map<string, KindEvidence>();

  /** Squared deviations: of tasks from finished tasks of their step, and from the prediction. */
  readonly withinStep: DecayedMean;

  readonly total: DecayedMean;

  /** Errors of the callers' estimates, of what was learned, and of the projection of progress. */
  readonly callerError: DecayedMean;

  readonly learnedError: DecayedMean;

  readonly progressError: DecayedMean;

  runs = 0;

  constructor(state: QueueModelState | null = null) {
    this.regression = new DecayedRegression(MEMORY_STEPS, state?.regression);
    this.ratios = new RatioDistribution(MEMORY_STEPS, state?.ratios);
    const means = (state?.means ?? []).map(([sum, weight]) => new DecayedMean(sum, weight));
    this.withinStep = means[0] ?? new DecayedMean();
    this.total = means[1] ?? new DecayedMean();
    this.callerError = means[2] ?? new DecayedMean();
    this.learnedError = means[3] ?? new DecayedMean();
    this.progressError = means[4] ?? new DecayedMean();
    state?.kinds.forEach(([kind, estimate, duration, weight]) =>
      this.kinds.set(kind, {
        estimate: new DecayedMean(estimate, weight),
        duration: new DecayedMean(duration, weight),
      }),
    );
  }

  /** Returns the state that {@link QueueModel} is created from again. */
  getState(): QueueModelState {
    const { regression, ratios, kinds } = this;
    const means = [
      this.withinStep,
      this.total,
      this.callerError,
      this.learnedError,
      this.progressError,
    ];
    return {
      regression: regression.sums,
      ratios: ratios.weights,
      means: means.map(({ sum, weight }) => [sum, weight]),
      kinds: [...kinds].map(([kind, { estimate, duration }]) => [
        kind,
        estimate.sum,
        duration.sum,
        duration.weight,
      ]),
    };
  }

  /** Predicts the logarithm of the duration of a task of some kind of step. */
  predict(kind: string, logEstimate: number): number {
    const known = this.kinds.get(kind);
    const predicted = this.regression.predict(logEstimate);
    if (known === undefined) {
      return predicted;
    }
    const { estimate, duration } = known;
    const trust = duration.weight / (duration.weight + KIND_PRIOR_WEIGHT);
    return predicted + trust * (duration.get(0, 0) - this.regression.predict(estimate.get(0, 0)));
  }

  addWhole(kind: string, logEstimate: number, logDuration: number, weight: number): void {
    const known = this.kinds.get(kind) ?? {
      estimate: new DecayedMean(),
      duration: new DecayedMean(),
    };
    this.kinds.set(kind, known);
    known.estimate.add(logEstimate, weight);
    known.duration.add(logDuration, weight);
    this.regression.add(logEstimate, logDuration, weight);
  }

  /** Variance of the tasks of one step. */
  getWithinVariance(): number {
    return this.withinStep.get(PRIOR_WITHIN_VARIANCE, VARIANCE_PRIOR_WEIGHT);
  }

  /** Variance of the means of steps around the prediction. */
  getBetweenVariance(): number {
    const total = this.total.get(PRIOR_TOTAL_VARIANCE, VARIANCE_PRIOR_WEIGHT);
    return Math.max(0, total - this.getWithinVariance());
  }

  /** Share of the within-step variance that is known from evidence. */
  getWithinTrust(): number {
    return this.withinStep.weight / (this.withinStep.weight + VARIANCE_PRIOR_WEIGHT);
  }
}
