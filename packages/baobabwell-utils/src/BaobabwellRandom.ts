import type { RandomGenerator } from 'pure-rand';

import { xoroshiro128plus } from 'pure-rand';

const UINT32_RANGE = 2 ** 32;

/** Seeded pseudo-random source; the same seed gives the same sequence. */
export class Random {
  readonly #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Returns a number in [0, 1). */
  getFraction(): number {
    return (this.#generator.unsafeNext() >>> 0) / UINT32_RANGE;
  }

  /** Returns an integer in [0, limit). */
  getInteger(limit: number): number {
    return Math.floor(this.getFraction() * limit);
  }

  /** Returns an exponentially distributed number with the given mean. */
  getExponential(mean: number): number {
    return -mean * Math.log(1 - this.getFraction());
  }

  /** Returns one of `items`, which must not be empty. */
  getOneOf<T>(items: readonly T[]): T {
    return items[this.getInteger(items.length)] as T;
  }
}
