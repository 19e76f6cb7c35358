type Search = { best: number; readonly lowerBound: number };

function search(
  durations: readonly number[],
  next: number,
  loads: readonly number[],
  state: Search,
): void {
  const longest = Math.max(...loads);
  if (longest >= state.best || state.best <= state.lowerBound) {
    return;
  }
  const duration = durations[next];
  if (duration === undefined) {
    Object.assign(state, { best: longest });
    return;
  }
  const triedLoads = new Set<number>();
  loads.forEach((load, index) => {
    // Slots with equal load lead to equivalent schedules.
    if (!triedLoads.has(load)) {
      triedLoads.add(load);
      const nextLoads = loads.map((other, at) => (at === index ? other + duration : other));
      search(durations, next + 1, nextLoads, state);
    }
  });
}

/**
 * Returns the shortest makespan of jobs on a limited number of parallel slots. The search is exact
 * and takes exponential time; it is meant for about a dozen jobs.
 *
 * @param durations durations of the jobs, in any unit.
 * @param concurrency number of jobs that may run at the same time; must be positive.
 */
export function getShortestMakespan(durations: readonly number[], concurrency: number): number {
  const total = durations.reduce((sum, duration) => sum + duration, 0);
  const lowerBound = Math.max(total / concurrency, ...durations);
  const state: Search = { best: Number.POSITIVE_INFINITY, lowerBound };
  const longestFirst = durations.toSorted((a, b) => b - a);
  search(
    longestFirst,
    0,
    Array.from({ length: concurrency }, () => 0),
    state,
  );
  return state.best;
}
