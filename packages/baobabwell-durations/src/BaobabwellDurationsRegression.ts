/** Weight of the assumption that estimates are right, in steps. */
const PRIOR_WEIGHT = 5;

/** Variance of the logarithm of estimates that the assumption corresponds to. */
const PRIOR_VARIANCE = 0.25;

/** Sums of a {@link DecayedRegression}. */
export type RegressionSums = {
  readonly weight: number;
  readonly x: number;
  readonly y: number;
  readonly xx: number;
  readonly xy: number;
};

const NO_SUMS: RegressionSums = { weight: 0, x: 0, y: 0, xx: 0, xy: 0 };

/**
 * Linear regression whose evidence decays. Without evidence y equals x; where x says nothing about y, the
 * slope approaches 0 as evidence grows.
 */
export class DecayedRegression {
  #sums: RegressionSums;

  readonly #memory: number;

  /** @param memory weight of the evidence that is remembered. */
  constructor(memory: number, sums = NO_SUMS) {
    this.#memory = memory;
    this.#sums = sums;
  }

  get sums(): RegressionSums {
    return this.#sums;
  }

  add(x: number, y: number, weight: number): void {
    const keep = 1 - weight / this.#memory;
    const { weight: sum, x: sumX, y: sumY, xx, xy } = this.#sums;
    this.#sums = {
      weight: sum * keep + weight,
      x: sumX * keep + weight * x,
      y: sumY * keep + weight * y,
      xx: xx * keep + weight * x * x,
      xy: xy * keep + weight * x * y,
    };
  }

  /** Share of a prediction that comes from evidence. */
  getTrust(): number {
    return this.#sums.weight / (this.#sums.weight + PRIOR_WEIGHT);
  }

  /** Returns the change of y per change of x. */
  getSlope(): number {
    const { weight, x, y, xx, xy } = this.#sums;
    if (weight === 0) {
      return 1;
    }
    const covariance = xy - (x * y) / weight;
    const variance = Math.max(0, xx - (x * x) / weight);
    const prior = PRIOR_WEIGHT * PRIOR_VARIANCE;
    return Math.min(1, Math.max(0, (covariance + prior) / (variance + prior)));
  }

  predict(x: number): number {
    const { weight, x: sumX, y: sumY } = this.#sums;
    if (weight === 0) {
      return x;
    }
    const meanX = sumX / weight;
    const bias = (sumY - sumX) / (weight + PRIOR_WEIGHT);
    return meanX + bias + this.getSlope() * (x - meanX);
  }
}
