import type { Clock } from '@baobabwell/utils';

/** Knows how old the view may be, and so whether this entry may start work. */
export class FreshnessTracker {
  readonly #clock: Clock;

  readonly #boundMs: number;

  readonly #isMember: () => boolean;

  #newestAt = Number.NEGATIVE_INFINITY;

  /** @param isMember whether the view names this life of the entry as a member. */
  constructor(clock: Clock, boundMs: number, isMember: () => boolean = () => true) {
    this.#clock = clock;
    this.#boundMs = boundMs;
    this.#isMember = isMember;
  }

  /**
   * Records that the view held every accepted change known at a moment.
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

  /** True while this entry is a member and its view is recent enough to start work. */
  isCurrent(): boolean {
    return this.getAge() <= this.#boundMs && this.#isMember();
  }
}
