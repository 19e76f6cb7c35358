/**
 * Load pattern: the queues have demand bursts one after the other. A machine takes longer to join a
 * pool than the first jobs of a burst can wait, so some machines are kept as headroom in the pools
 * whose burst is likely next: those that have been idle longest. Without bursts all pools are idle
 * for the same time and share the headroom evenly.
 */

/** Time for which a pool has been idle. */
export type PoolIdleTime = {
  readonly name: string;
  /** Time since the pool last required many more hosts than its base, in ms. */
  readonly idleMs: number;
};

/** Idle time above which a longer idle time does not make a burst more likely, in ms. */
const MAX_IDLE_MS = 40_000;

/** Idle time before a pool gets headroom, in ms: a pool does not have its next burst right away. */
const MIN_IDLE_MS = 3_000;

/**
 * Time before the next burst is expected from which headroom is kept for it, in ms: a machine takes as
 * long to join a pool, and bursts start somewhat earlier or later.
 */
const HEADROOM_LEAD_MS = 3_000;

/** Longest interval between bursts that is learned, in ms. */
const MAX_INTERVAL_MS = 15_000;

/** Shortest time for which giving up headroom saves more than moving its machines twice costs, in ms. */
const MIN_PARKING_MS = 4_500;

/**
 * Returns true while the next burst is not expected soon: bursts that take turns start one interval
 * after the other. A burst that starts early is the next measure of the interval, and without two
 * recorded starts nothing is expected.
 *
 * @param startsMs times at which the last bursts of any pool started, oldest first, in ms.
 */
export function isBetweenBursts(startsMs: readonly number[], nowMs: number): boolean {
  const intervalsMs = startsMs.slice(1).map((atMs, index) => atMs - (startsMs[index] ?? atMs));
  const lastMs = startsMs.at(-1);
  const shortestMs = Math.min(...intervalsMs);
  const pauseMs = shortestMs - HEADROOM_LEAD_MS;
  return (
    lastMs !== undefined &&
    shortestMs <= MAX_INTERVAL_MS &&
    pauseMs >= MIN_PARKING_MS &&
    nowMs - lastMs < pauseMs
  );
}

/** Divides the headroom among the idle pools by their idle time. */
export function divideHeadroom(
  pools: readonly PoolIdleTime[],
  headroomHosts: number,
): ReadonlyMap<string, number> {
  // The pool that has been idle longest is the most likely by far where the pools take turns.
  const weights = pools.map(({ idleMs }) =>
    idleMs < MIN_IDLE_MS ? 0 : Math.min(idleMs, MAX_IDLE_MS) ** 2,
  );
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  return new Map(
    pools.map(({ name }, index) => [
      name,
      total === 0 ? 0 : Math.round((headroomHosts * (weights[index] ?? 0)) / total),
    ]),
  );
}
