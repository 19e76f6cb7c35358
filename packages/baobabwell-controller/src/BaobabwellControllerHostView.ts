/**
 * Load pattern: an owner is behind with what the platform lists of the hosts, because it is busy, loads a
 * large state at the start of its term, or its watch is not answered. Runs that it started then would be
 * on hosts that are draining or whose capacity has shrunk.
 */

/** The owner's view of the hosts. */
export type HostView = {
  /** Time since the hosts were known to be as listed, in ms. */
  readonly ageMs: number;
  readonly maxAgeMs: number;
  /** The store answers the owner, so that hosts can report changes too. */
  readonly canRenew: boolean;
};

/**
 * Returns true when no run is to start in a pool because a change of its hosts may be unknown for too
 * long. During an outage of the store this holds only for hosts that accept what does not fit them.
 */
export function isHostViewTooOld(
  { ageMs, maxAgeMs, canRenew }: HostView,
  checksRoom: boolean,
): boolean {
  return ageMs > maxAgeMs && (canRenew || !checksRoom);
}
