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
const MAX_IDLE_MS = 20_000;

/** Idle time before a pool gets headroom, in ms: a pool does not have its next burst right away. */
const MIN_IDLE_MS = 3_000;

/** Divides the headroom among the idle pools by their idle time. */
export function divideHeadroom(
  pools: readonly PoolIdleTime[],
  headroomHosts: number,
): ReadonlyMap<string, number> {
  const weights = pools.map(({ idleMs }) =>
    idleMs < MIN_IDLE_MS ? 0 : Math.min(idleMs, MAX_IDLE_MS),
  );
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  return new Map(
    pools.map(({ name }, index) => [
      name,
      total === 0 ? 0 : Math.round((headroomHosts * (weights[index] ?? 0)) / total),
    ]),
  );
}
