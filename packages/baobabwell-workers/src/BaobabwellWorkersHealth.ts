import {
  FAILURE_SMOOTHING,
  MAX_CHANCE_PROBABILITY,
  MIN_FAILURE_STREAK,
  PROBE_INTERVAL_MS,
  PROBE_OVERDUE_AFTER_MS,
} from './BaobabwellWorkersConstants';

/** State of the pool with which a worker's results are compared. */
export type HealthComparison = {
  /** Returns the fraction of tasks that fail on the other workers of the pool. */
  readonly getOthersFailureFraction: () => number;
  /** Returns whether the pool has enough other workers to do without this one now. */
  readonly canSpare: () => boolean;
};

/**
 * Tracks the health of one worker by the results of its tasks. Consecutive failures make it suspect
 * only if they are improbable at the failure rate of the other workers, so that faulty work does
 * not take workers out of use. A suspect worker gets single tasks as probes until one succeeds.
 */
export class WorkerHealth {
  readonly #comparison: HealthComparison;

  #failureStreak = 0;

  #failureFraction = 0;

  #isSuspect = false;

  #nextProbeAt = 0;

  #lastFailureAt = 0;

  constructor(comparison: HealthComparison) {
    this.#comparison = comparison;
  }

  /** Returns whether the worker is suspect and gets only probes. */
  isSuspect(): boolean {
    return this.#isSuspect;
  }

  /** Returns the fraction of recent tasks that failed. */
  getFailureFraction(): number {
    return this.#failureFraction;
  }

  /** Returns whether a suspect worker may be probed with a task. */
  canProbe(now: number): boolean {
    return now >= this.#nextProbeAt;
  }

  /** Returns whether no suitable work probed the worker for so long that any work may probe it. */
  isProbeOverdue(now: number): boolean {
    return now - this.#lastFailureAt >= PROBE_OVERDUE_AFTER_MS;
  }

  /** Records that a task was assigned to the worker. */
  recordStart(now: number): void {
    this.#nextProbeAt = now + PROBE_INTERVAL_MS;
  }

  /** Records a complete answer, after which the worker is not suspect. */
  recordSuccess(): void {
    this.#failureStreak = 0;
    this.#isSuspect = false;
    this.#failureFraction *= 1 - FAILURE_SMOOTHING;
  }

  /** Records a task that failed or whose answer was lost. */
  recordFailure(now: number): void {
    this.#lastFailureAt = now;
    this.#failureStreak += 1;
    this.#failureFraction += (1 - this.#failureFraction) * FAILURE_SMOOTHING;
    this.#isSuspect ||=
      this.#failureStreak >= this.#getStreakThreshold() && this.#comparison.canSpare();
  }

  /** Withdraws a failure that turned out to be caused by the work itself. */
  withdrawFailure(): void {
    this.#failureStreak = Math.max(0, this.#failureStreak - 1);
    this.#isSuspect &&= this.#failureStreak >= MIN_FAILURE_STREAK;
  }

  #getStreakThreshold(): number {
    const othersFraction = this.#comparison.getOthersFailureFraction();
    if (othersFraction <= MAX_CHANCE_PROBABILITY) {
      return MIN_FAILURE_STREAK;
    }
    if (othersFraction >= 1) {
      return Number.POSITIVE_INFINITY;
    }
    const threshold = Math.log(MAX_CHANCE_PROBABILITY) / Math.log(othersFraction);
    return Math.max(MIN_FAILURE_STREAK, Math.ceil(threshold));
  }
}
