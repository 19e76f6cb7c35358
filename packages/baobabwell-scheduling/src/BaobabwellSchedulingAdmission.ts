import type { Clock } from '@baobabwell/utils';

/** State of the queue that a call would join, from which its wait is estimated. */
export type QueueEstimate = {
  readonly team: string;
  /** Number of calls of the team that would start before it. */
  readonly callsAhead: number;
  /** Slots that the team may use at this entry; infinite while the pool is not contended. */
  readonly slots: number;
  /** Mean run time of the team's work, in milliseconds. */
  readonly meanRunMs: number;
  /** Milliseconds until the call's deadline. */
  readonly remainingMs: number;
};

/** Decides whether a call may wait for a slot. */
export abstract class AdmissionControl {
  /** Returns the expected wait if it is too long, or `null` to admit the call. */
  abstract findExcessiveWaitMs(estimate: QueueEstimate): number | null;

  /** Records that a call of a team was granted a slot. */
  abstract recordStart(team: string): void;
}

/** Admits every call; it then waits until its deadline. */
export class DeadlineAdmission extends AdmissionControl {
  override findExcessiveWaitMs(): null {
    return null;
  }

  override recordStart(): void {
    // This policy does not depend on the start rate.
  }
}

const RATE_WINDOW_MS = 1_000;
const MAX_WAIT_FRACTION = 0.25;

type StartCount = {
  windowStartedAt: number;
  count: number;
  /** Starts in the previous window. */
  previousCount: number;
};

/**
 * Refuses a call on arrival when its expected wait exceeds a quarter of the time left until its
 * deadline. The wait is estimated from the calls ahead of it and the team's recent start rate. A
 * short queue drains within that time, and the remaining three quarters cover the work itself and
 * the error of the estimate.
 */
export class ExpectedWaitAdmission extends AdmissionControl {
  readonly #clock: Clock;

  readonly #startCounts = new Map<string, StartCount>();

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  override findExcessiveWaitMs({
    team,
    callsAhead,
    slots,
    meanRunMs,
    remainingMs,
  }: QueueEstimate): number | null {
    if (!Number.isFinite(slots) || callsAhead === 0) {
      return null;
    }
    const expectedMs = callsAhead / this.#getRate(team, Math.max(1, slots) / meanRunMs);
    return expectedMs > remainingMs * MAX_WAIT_FRACTION ? expectedMs : null;
  }

  override recordStart(team: string): void {
    this.#getStartCount(team).count += 1;
  }

  /**
   * Returns the higher of the measured and the expected rate: the measured one says little about a
   * team that had no calls waiting.
   */
  #getRate(team: string, expectedRate: number): number {
    return Math.max(this.#getStartRate(team), expectedRate);
  }

  /** Returns the starts per millisecond over the last one to two windows. */
  #getStartRate(team: string): number {
    const { windowStartedAt, count, previousCount } = this.#getStartCount(team);
    return (count + previousCount) / (RATE_WINDOW_MS + this.#clock.getNow() - windowStartedAt);
  }

  #getStartCount(team: string): StartCount {
    const now = this.#clock.getNow();
    const startCount = this.#startCounts.get(team) ?? {
      windowStartedAt: now,
      count: 0,
      previousCount: 0,
    };
    this.#startCounts.set(team, startCount);
    const windows = Math.floor((now - startCount.windowStartedAt) / RATE_WINDOW_MS);
    if (windows > 0) {
      startCount.previousCount = windows === 1 ? startCount.count : 0;
      startCount.count = 0;
      startCount.windowStartedAt += windows * RATE_WINDOW_MS;
    }
    return startCount;
  }
}
