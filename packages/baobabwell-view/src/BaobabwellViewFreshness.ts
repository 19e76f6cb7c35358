import type { Clock } from '@baobabwell/utils';

/** Tracks the age of the view, which decides whether this entry may start work. */
export class FreshnessTracker {
  readonly #clock: Clock;

  readonly #maxAgeMs: number;

  readonly #isMember: () => boolean;

  #lastConfirmedAt = Number.NEGATIVE_INFINITY;

  /** @param isMember returns whether this incarnation of the entry is a member in the view. */
  constructor(clock: Clock, maxAgeMs: number, isMember: () => boolean = () => true) {
    this.#clock = clock;
    this.#maxAgeMs = maxAgeMs;
    this.#isMember = isMember;
  }

  /**
   * Records that the view contained every change that was accepted at a point in time.
   *
   * @param confirmedAt monotonic time at which the confirming request was sent, never when it was
   *   answered: a pause of the process in between must count as age.
   */
  recordConfirmation(confirmedAt: number): void {
    this.#lastConfirmedAt = Math.max(this.#lastConfirmedAt, confirmedAt);
  }

  /** Returns the age of the last confirmation in milliseconds. */
  getAge(): number {
    return this.#clock.getNow() - this.#lastConfirmedAt;
  }

  /** Returns whether this entry is a member and its view is recent enough to start work. */
  isCurrent(): boolean {
    return this.getAge() <= this.#maxAgeMs && this.#isMember();
  }
}
