/**
 * Load pattern: jobs arrive faster than the owner's processor can place them, with hosts free. Every job
 * admitted then waits in the owner's event loop, until all of them are late. The owner admits a share of the
 * new jobs that falls quickly while its timers are late and rises slowly once they are not; processes
 * that receive jobs refuse the others without a call to the owner or to the store.
 */

/** Lateness of the owner's timers from which it admits fewer jobs, in ms: each step of a job waits several times as long. */
const MAX_LATENESS_MS = 250;

/** Lateness below which the owner admits more jobs again, in ms. */
const LOW_LATENESS_MS = 80;

/** Factor by which the admitted share falls in one interval. */
const DECREASE_FACTOR = 0.7;

/** Part of all jobs by which the admitted share rises in one interval. */
const INCREASE = 0.05;

/** Smallest admitted share: some jobs are admitted in any case, since they show whether the owner recovers. */
const MIN_SHARE = 0.05;

/** Interval between two changes of the admitted share, in ms. */
export const ADMITTED_SHARE_INTERVAL_MS = 350;

/** Retry delay of a job that is refused because the owner is overloaded, in ms, at a share of 0 and of 1. */
const MAX_OVERLOAD_RETRY_MS = 4_000;
const MIN_OVERLOAD_RETRY_MS = 1_000;

/**
 * Computes the share of new jobs that the owner admits, from 0 to 1.
 *
 * @param latenessMs mean lateness of the owner's timers since the last change, in ms.
 */
export function computeAdmittedShare(share: number, latenessMs: number): number {
  if (latenessMs > MAX_LATENESS_MS) {
    return Math.max(MIN_SHARE, share * DECREASE_FACTOR);
  }
  return latenessMs < LOW_LATENESS_MS ? Math.min(1, share + INCREASE) : share;
}

/** Computes after which delay a refused caller should return, in ms: later the smaller the admitted share is. */
export function computeOverloadRetryMs(share: number): number {
  return Math.round(
    MIN_OVERLOAD_RETRY_MS + (1 - share) * (MAX_OVERLOAD_RETRY_MS - MIN_OVERLOAD_RETRY_MS),
  );
}
