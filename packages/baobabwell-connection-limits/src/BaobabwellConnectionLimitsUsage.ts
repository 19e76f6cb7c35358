import type { ClientLimit, ClientLimitObserver } from './BaobabwellConnectionLimitsModel';

/** Share of a bound below which it counts as no longer reached. */
const END_SHARE = 0.8;

/** Sum over all clients of what is bounded, and whether the bound is reached. */
export class LimitUsage {
  readonly max: number;

  readonly #limit: ClientLimit;

  readonly #observer: ClientLimitObserver;

  #used = 0;

  /** How often something gave way since the bound was reached; 0 while it is not. */
  #reachedCount = 0;

  constructor(limit: ClientLimit, max: number, observer: ClientLimitObserver) {
    this.max = max;
    this.#limit = limit;
    this.#observer = observer;
  }

  get used(): number {
    return this.#used;
  }

  isExceeded(): boolean {
    return this.#used > this.max;
  }

  add(amount: number): void {
    this.#used += amount;
    if (this.#reachedCount > 0 && this.#used < this.max * END_SHARE) {
      const count = this.#reachedCount;
      this.#reachedCount = 0;
      this.#observer.recordEnd(this.#limit, count);
    }
  }

  remove(amount: number): void {
    this.add(-amount);
  }

  /** Records that something gave way because of the bound. */
  recordReached(): void {
    this.#reachedCount += 1;
    if (this.#reachedCount === 1) {
      this.#observer.recordStart(this.#limit, this.max);
    }
    this.#observer.recordReached(this.#limit);
  }
}
