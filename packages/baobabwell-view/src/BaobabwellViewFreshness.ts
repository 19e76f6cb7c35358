import type { Clock } from '@baobabwell/utils';

/** Knows how old the view may be, and so whether this entry may start work. */
export class FreshnessTracker {
  readonly #clock: Clock;

  readonly #boundMs: number;

  #newestAt = Number.NEGATIVE_INFINITY;

  constructor(clock: Clock, boundMs: number) {
    this.#clock = clock;
    this.#boundMs = boundMs;
  }

  /**
   * Records that the view held every change known at a moment.
   *
   * @param at monotonic time at which the confirming request was sent, never when it was
   *   answered: a pause in between must count as age.
   */
  recordConfirmation(at: number): void {
    this.#newestAt = Math.max(this.#newestAt, at);
  }

  /** Age of the last confirmation in milliseconds. */
  getAge(): number {
    return this.#clock.getNow() - this.#newestAt;
  }

  /** True while the view is recent enough to start work. */
  isCurrent(): boolean {
    return this.getAge() <= this.#boundMs;
  }
}
