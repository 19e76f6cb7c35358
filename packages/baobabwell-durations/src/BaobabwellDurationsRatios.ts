/** Buckets per doubling of the ratio, and the logarithms (base 2) of the smallest and largest ratio. */
const BUCKETS_PER_OCTAVE = 4;
const MIN_OCTAVE = -6;
const MAX_OCTAVE = 6;

/** Number of buckets of a {@link RatioDistribution}. */
export const BUCKET_COUNT = (MAX_OCTAVE - MIN_OCTAVE) * BUCKETS_PER_OCTAVE;

/** Weight and spread (of the logarithm) of the distribution that is assumed without evidence. */
const PRIOR_WEIGHT = 5;
const PRIOR_SPREAD = 0.4;

/** Expected excess over a ratio that is larger than all evidence, as a share of that ratio. */
const TAIL_EXCESS = 0.25;

function getBound(index: number): number {
  return 2 ** (MIN_OCTAVE + index / BUCKETS_PER_OCTAVE);
}

const BOUNDS = Array.from({ length: BUCKET_COUNT + 1 }, (_, index) => getBound(index));

function getMiddle(index: number): number {
  return ((BOUNDS[index] ?? 0) + (BOUNDS[index + 1] ?? 0)) / 2;
}

function findBucket(ratio: number): number {
  const index = Math.floor((Math.log2(ratio) - MIN_OCTAVE) * BUCKETS_PER_OCTAVE);
  return Math.min(BUCKET_COUNT - 1, Math.max(0, index));
}

function createPrior(): readonly number[] {
  const weights = Array.from({ length: BUCKET_COUNT }, (_, index) => {
    const deviation = (Math.log(getMiddle(index)) + PRIOR_SPREAD ** 2 / 2) / PRIOR_SPREAD;
    return Math.exp(-(deviation ** 2) / 2);
  });
  const sum = weights.reduce((total, weight) => total + weight, 0);
  return weights.map((weight) => (weight * PRIOR_WEIGHT) / sum);
}

const PRIOR = createPrior();

/** Makes the mean of the prior exactly 1. */
const CALIBRATION =
  PRIOR_WEIGHT / PRIOR.reduce((sum, weight, index) => sum + weight * getMiddle(index), 0);

/** Sums over a bucket and all above it. */
type Tail = { readonly weight: number; readonly moment: number };

/** Distribution of actual / predicted duration in log-spaced buckets whose evidence decays. */
export class RatioDistribution {
  readonly #memory: number;

  readonly #weights: number[];

  /** Sums from each bucket upwards; `null` after a change. */
  #tails: readonly Tail[] | null = null;

  constructor(memory: number, weights: readonly number[] = []) {
    this.#memory = memory;
    this.#weights = Array.from({ length: BUCKET_COUNT }, (_, index) => weights[index] ?? 0);
  }

  get weights(): readonly number[] {
    return this.#weights;
  }

  add(ratio: number, weight: number): void {
    this.#decay(weight);
    const bucket = findBucket(ratio);
    this.#weights[bucket] = (this.#weights[bucket] ?? 0) + weight;
  }

  /** Adds a ratio that is known to be at least `ratio`: spreads its weight as the evidence above it is. */
  addAtLeast(ratio: number, weight: number): void {
    const bucket = findBucket(ratio);
    const above = this.#getTails()[bucket]?.weight ?? 0;
    if (above === 0) {
      this.add(ratio, weight);
      return;
    }
    const shares = this.#weights.map((own, index) => (own + (PRIOR[index] ?? 0)) / above);
    this.#decay(weight);
    for (let index = bucket; index < BUCKET_COUNT; index += 1) {
      this.#weights[index] = (this.#weights[index] ?? 0) + weight * (shares[index] ?? 0);
    }
  }

  getMean(): number {
    const [{ weight, moment } = { weight: 1, moment: 1 }] = this.#getTails();
    return (CALIBRATION * moment) / weight;
  }

  /** Returns the ratio below which the given share of the distribution lies. */
  getQuantile(share: number): number {
    const tails = this.#getTails();
    const above = (1 - share) * (tails[0]?.weight ?? 0);
    const index = tails.findIndex(({ weight }) => weight < above);
    return getMiddle(index === -1 ? BUCKET_COUNT - 1 : Math.max(0, index - 1));
  }

  /** Returns the expected excess over a ratio, given that the ratio is exceeded. */
  getMeanExcess(ratio: number): number {
    const bucket = findBucket(ratio);
    const tails = this.#getTails();
    const above = tails[bucket + 1] ?? { weight: 0, moment: 0 };
    const low = bucket === 0 ? 0 : (BOUNDS[bucket] ?? 0);
    const high = BOUNDS[bucket + 1] ?? Infinity;
    const own = (tails[bucket]?.weight ?? 0) - above.weight;
    const share = Math.min(1, Math.max(0, (high - ratio) / (high - low)));
    const weight = above.weight + own * share;
    if (weight < Number.EPSILON) {
      return ratio * TAIL_EXCESS;
    }
    const moment = above.moment + own * share * ((Math.max(ratio, low) + high) / 2);
    return CALIBRATION * Math.max(0, moment / weight - ratio);
  }

  #decay(weight: number): void {
    this.#tails = null;
    const keep = 1 - weight / this.#memory;
    for (let index = 0; index < BUCKET_COUNT; index += 1) {
      this.#weights[index] = (this.#weights[index] ?? 0) * keep;
    }
  }

  #getTails(): readonly Tail[] {
    if (this.#tails === null) {
      const tails: Tail[] = Array.from({ length: BUCKET_COUNT }, () => ({ weight: 0, moment: 0 }));
      let weight = 0;
      let moment = 0;
      for (let index = BUCKET_COUNT - 1; index >= 0; index -= 1) {
        const own = (this.#weights[index] ?? 0) + (PRIOR[index] ?? 0);
        weight += own;
        moment += own * getMiddle(index);
        tails[index] = { weight, moment };
      }
      this.#tails = tails;
    }
    return this.#tails;
  }
}
