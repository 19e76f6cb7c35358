/**
 * Load pattern: the operator evacuates a data centre at any load, and again before the first evacuation has
 * ended. An owner that loads its state, is behind with its watch or was partitioned from the store may not
 * know of a request yet: any data centre may be evacuated by then.
 */

/** What an owner knows of the operator's requests. */
export type EvacuationView = {
  /** Time since the operator's rows were known to be applied as stored, in ms. */
  readonly ageMs: number;
  /** Time for which the store has answered nobody, as far as the owner knows, in ms. */
  readonly unansweredMs: number;
  /** Greatest age with which a run may start, in ms; `null` where the platform sets no bound. */
  readonly maxAgeMs: number | null;
};

/** Returns true when a data centre may have been evacuated too long ago without the owner knowing. */
export function isEvacuationViewTooOld({ ageMs, unansweredMs, maxAgeMs }: EvacuationView): boolean {
  // A store that answers nobody accepts no request of the operator either.
  return maxAgeMs !== null && ageMs - unansweredMs > maxAgeMs;
}
