type Search = { best: number; readonly lowest: number };

function search(
  durations: readonly number[],
  next: number,
  loads: readonly number[],
  state: Search,
): void {
  const longest = Math.max(...loads);
  if (longest >= state.best || state.best <= state.lowest) {
    return;
  }
  const duration = durations[next];
  if (duration === undefined) {
    Object.assign(state, { best: longest });
    return;
  }
  const tried = new Set<number>();
  loads.forEach((load, index) => {
    // Two places that are free at the same time lead to the same schedules.
    if (!tried.has(load)) {
      tried.add(load);
      const after = loads.map((other, at) => (at === index ? other + duration : other));
      search(durations, next + 1, after, state);
    }
  });
}

/**
 * Gets the shortest time in which jobs can be done when only some may run at once. Exact; meant
 * for a dozen jobs.
 *
 * @param durations durations of the jobs, in any unit.
 * @param atOnce jobs that may run at once; must be positive.
 */
export function getShortestMakespan(durations: readonly number[], atOnce: number): number {
  const total = durations.reduce((sum, duration) => sum + duration, 0);
  const lowest = Math.max(total / atOnce, ...durations);
  const state: Search = { best: Number.POSITIVE_INFINITY, lowest };
  const longestFirst = durations.toSorted((a, b) => b - a);
  search(
    longestFirst,
    0,
    Array.from({ length: atOnce }, () => 0),
    state,
  );
  return state.best;
}
