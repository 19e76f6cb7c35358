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

const MIDDLES = Array.from(
  { length: BUCKET_COUNT },
  (_, index) => ((BOUNDS[index] ?? 0) + (BOUNDS[index + 1] ?? 0)) / 2,
);

function getMiddle(index: number): number {
  return MIDDLES[index] ?? 0;
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

/** Scale below which the stored weights are scaled anew. */
const MIN_SCALE = 1e-6;

/** Distribution of actual / predicted duration in log-spaced buckets whose evidence decays. */
export class RatioDistribution {
  readonly #memory: number;

  /** Evidence of each bucket divided by the scale, so that its decay changes one number only. */
  readonly #stored = new Float64Array(BUCKET_COUNT);

  #scale = 1;

  /** Sums of weights and of moments from each bucket upwards, unless evidence was added since. */
  readonly #tailWeights = new Float64Array(BUCKET_COUNT + 1);

  readonly #tailMoments = new Float64Array(BUCKET_COUNT + 1);

  #hasTails = false;

  constructor(memory: number, weights: readonly number[] = []) {
    this.#memory = memory;
    this.#stored.set(weights.slice(0, BUCKET_COUNT));
  }

  get weights(): readonly number[] {
    return Array.from(this.#stored, (stored) => stored * this.#scale);
  }

  add(ratio: number, weight: number): void {
    this.#decay(weight);
    this.#addToBucket(findBucket(ratio), weight);
  }

  /** Adds a ratio that is known to be at least `ratio`: spreads its weight as the evidence above it is. */
  addAtLeast(ratio: number, weight: number): void {
    const bucket = findBucket(ratio);
    this.#updateTails();
    const above = this.#getTailWeight(bucket);
    if (above === 0) {
      this.add(ratio, weight);
      return;
    }
    const shares = this.weights.map((own, index) => (own + (PRIOR[index] ?? 0)) / above);
    this.#decay(weight);
    for (let index = bucket; index < BUCKET_COUNT; index += 1) {
      this.#addToBucket(index, weight * (shares[index] ?? 0));
    }
  }

  getMean(): number {
    this.#updateTails();
    return (CALIBRATION * this.#getTailMoment(0)) / this.#getTailWeight(0);
  }

  /** Returns the ratio below which the given share of the distribution lies. */
  getQuantile(share: number): number {
    this.#updateTails();
    const above = (1 - share) * this.#getTailWeight(0);
    const index = this.#tailWeights.subarray(0, BUCKET_COUNT).findIndex((weight) => weight < above);
    return getMiddle(index === -1 ? BUCKET_COUNT - 1 : Math.max(0, index - 1));
  }

  /** Returns the expected excess over a ratio, given that the ratio is exceeded. */
  getMeanExcess(ratio: number): number {
    const bucket = findBucket(ratio);
    this.#updateTails();
    const aboveWeight = this.#getTailWeight(bucket + 1);
    const low = bucket === 0 ? 0 : (BOUNDS[bucket] ?? 0);
    const high = BOUNDS[bucket + 1] ?? Infinity;
    const own = this.#getTailWeight(bucket) - aboveWeight;
    const share = Math.min(1, Math.max(0, (high - ratio) / (high - low)));
    const weight = aboveWeight + own * share;
    if (weight < Number.EPSILON) {
      return ratio * TAIL_EXCESS;
    }
    const ownMoment = own * share * ((Math.max(ratio, low) + high) / 2);
    const moment = this.#getTailMoment(bucket + 1) + ownMoment;
    return CALIBRATION * Math.max(0, moment / weight - ratio);
  }

  #addToBucket(bucket: number, weight: number): void {
    this.#stored[bucket] = (this.#stored[bucket] ?? 0) + weight / this.#scale;
    this.#hasTails = false;
  }

  #decay(weight: number): void {
    this.#hasTails = false;
    this.#scale *= 1 - weight / this.#memory;
    if (!(this.#scale > MIN_SCALE)) {
      this.#stored.set(this.weights);
      this.#scale = 1;
    }
  }

  #getTailWeight(bucket: number): number {
    return this.#tailWeights[bucket] ?? 0;
  }

  #getTailMoment(bucket: number): number {
    return this.#tailMoments[bucket] ?? 0;
  }

  #updateTails(): void {
    if (this.#hasTails) {
      return;
    }
    this.#hasTails = true;
    let weight = 0;
    let moment = 0;
    for (let index = BUCKET_COUNT - 1; index >= 0; index -= 1) {
      const own = (this.#stored[index] ?? 0) * this.#scale + (PRIOR[index] ?? 0);
      weight += own;
      moment += own * getMiddle(index);
      this.#tailWeights[index] = weight;
      this.#tailMoments[index] = moment;
    }
  }
}
