import {
  CHANCE_BOUND,
  FAILURE_SMOOTHING,
  MIN_FAILURE_STREAK,
  PROBE_INTERVAL_MS,
  PROBE_OVERDUE_MS,
} from './BaobabwellWorkersConstants';

/** What a worker's results are compared with. */
export type HealthComparison = {
  /** Fraction of work that fails on the other workers of the pool. */
  readonly getOthersFailureFraction: () => number;
  /** Whether the pool can spare this worker now. */
  readonly canSpare: () => boolean;
};

/**
 * Judges one worker by the results of its tasks. A run of failures makes it suspect only when
 * it is improbable at the rate at which work fails elsewhere, so that bad work does not take
 * workers out. A suspect worker gets single probes until one succeeds.
 */
export class WorkerHealth {
  readonly #comparison: HealthComparison;

  #streak = 0;

  #failureFraction = 0;

  #isSuspect = false;

  #nextProbeAt = 0;

  #lastFailureAt = 0;

  constructor(comparison: HealthComparison) {
    this.#comparison = comparison;
  }

  /** True while the worker gets probes only. */
  isSuspect(): boolean {
    return this.#isSuspect;
  }

  /** Fraction of recent tasks that failed. */
  getFailureFraction(): number {
    return this.#failureFraction;
  }

  /** True when a suspect worker may be given one task. */
  canProbe(now: number): boolean {
    return now >= this.#nextProbeAt;
  }

  /** True when no fitting work came for so long that any work may be the probe. */
  isProbeOverdue(now: number): boolean {
    return now - this.#lastFailureAt >= PROBE_OVERDUE_MS;
  }

  /** Records that a task was given to the worker. */
  recordStart(now: number): void {
    this.#nextProbeAt = now + PROBE_INTERVAL_MS;
  }

  /** Records a whole answer; the worker is trusted again. */
  recordSuccess(): void {
    this.#streak = 0;
    this.#isSuspect = false;
    this.#failureFraction *= 1 - FAILURE_SMOOTHING;
  }

  /** Records a task that failed or whose answer was lost. */
  recordFailure(now: number): void {
    this.#lastFailureAt = now;
    this.#streak += 1;
    this.#failureFraction += (1 - this.#failureFraction) * FAILURE_SMOOTHING;
    this.#isSuspect ||= this.#streak >= this.#getStreakBound() && this.#comparison.canSpare();
  }

  /** Takes a failure back that was found to be the work's own. */
  withdrawFailure(): void {
    this.#streak = Math.max(0, this.#streak - 1);
    this.#isSuspect &&= this.#streak >= MIN_FAILURE_STREAK;
  }

  #getStreakBound(): number {
    const elsewhere = this.#comparison.getOthersFailureFraction();
    if (elsewhere <= CHANCE_BOUND) {
      return MIN_FAILURE_STREAK;
    }
    if (elsewhere >= 1) {
      return Number.POSITIVE_INFINITY;
    }
    const bound = Math.log(CHANCE_BOUND) / Math.log(elsewhere);
    return Math.max(MIN_FAILURE_STREAK, Math.ceil(bound));
  }
}
