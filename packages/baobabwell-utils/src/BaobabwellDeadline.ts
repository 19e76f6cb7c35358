import type { Clock } from './BaobabwellClock';

/** The end of the time for which somebody waits for an answer, on the monotonic clock of this process. */
export class Deadline {
  readonly #clock: Clock;

  readonly #endsAtMs: number;

  /** @param waitMs time from now until the end, in ms. */
  constructor(clock: Clock, waitMs: number) {
    this.#clock = clock;
    this.#endsAtMs = clock.getNow() + waitMs;
  }

  /** Returns the time that is left, in ms; 0 after the end. */
  getRemainingMs(): number {
    return Math.max(0, this.#endsAtMs - this.#clock.getNow());
  }

  /** Returns true once nobody waits any more. */
  hasPassed(): boolean {
    return this.getRemainingMs() === 0;
  }

  /** Shortens a timeout to the time that is left; both in ms. */
  limit(timeoutMs: number): number {
    return Math.min(timeoutMs, this.getRemainingMs());
  }
}
