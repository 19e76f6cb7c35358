/** Call counters of several entries as one time series that continues across restarts. */
import type { ObjectiveCounts, Scrape } from './BaobabwellReportsScrapes';

/** Number of calls in a period, by objective result. */
export type CallCounts = ObjectiveCounts;

type SeriesPoint = { readonly at: number; readonly counts: CallCounts };

const ZERO_COUNTS: CallCounts = { met: 0, slow: 0, failed: 0 };
const START_TIME_TOLERANCE_MS = 1_500;

function addCounts(a: CallCounts, b: CallCounts, factor = 1): CallCounts {
  return {
    met: a.met + b.met * factor,
    slow: a.slow + b.slow * factor,
    failed: a.failed + b.failed * factor,
  };
}

/**
 * Builds the time series of one entry. A restart resets the counters of the entry to zero; the counts
 * from before it are added to those after it, so that the series stays level at the restart.
 */
function buildPoints(scrapes: readonly Scrape[], queue: string): readonly SeriesPoint[] {
  const points: SeriesPoint[] = [];
  let base = ZERO_COUNTS;
  let startedAt = Number.NEGATIVE_INFINITY;
  scrapes.forEach((scrape) => {
    if (Math.abs(scrape.startedAt - startedAt) > START_TIME_TOLERANCE_MS) {
      base = points.at(-1)?.counts ?? ZERO_COUNTS;
      startedAt = scrape.startedAt;
      points.push({ at: Math.max(startedAt, points.at(-1)?.at ?? startedAt), counts: base });
    }
    points.push({ at: scrape.at, counts: addCounts(base, scrape.queues[queue] ?? ZERO_COUNTS) });
  });
  return points;
}

/** Returns the index of the first point after `at` by binary search; points are sorted by time. */
function findFirstAfter(points: readonly SeriesPoint[], at: number): number {
  let low = 0;
  let high = points.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if ((points[middle] as SeriesPoint).at > at) {
      high = middle;
    } else {
      low = middle + 1;
    }
  }
  return low;
}

function interpolateCounts(points: readonly SeriesPoint[], at: number): CallCounts {
  const nextIndex = findFirstAfter(points, at);
  const after = points[nextIndex];
  const before = points[nextIndex - 1];
  if (before === undefined) {
    return ZERO_COUNTS;
  }
  if (after === undefined) {
    return before.counts;
  }
  const fraction = (at - before.at) / (after.at - before.at);
  const increase = addCounts(after.counts, before.counts, -1);
  return addCounts(before.counts, increase, fraction);
}

/** Time series of the calls of one queue, summed over the entries and interpolated between scrapes. */
export class CallSeries {
  readonly #pointsByEntry: readonly (readonly SeriesPoint[])[];

  constructor(scrapes: readonly Scrape[], queue: string) {
    const entries = [...new Set(scrapes.map(({ entry }) => entry))];
    const ordered = scrapes.toSorted((a, b) => a.at - b.at);
    this.#pointsByEntry = entries.map((entry) =>
      buildPoints(
        ordered.filter((scrape) => scrape.entry === entry),
        queue,
      ),
    );
  }

  /** Returns the wall-clock ms of the first and the last point, or `null` when there are none. */
  getTimeRange(): { readonly from: number; readonly to: number } | null {
    const firsts = this.#pointsByEntry.flatMap((points) => points[0]?.at ?? []);
    const lasts = this.#pointsByEntry.flatMap((points) => points.at(-1)?.at ?? []);
    return firsts.length === 0 ? null : { from: Math.min(...firsts), to: Math.max(...lasts) };
  }

  /** Sums the calls that ended between two points in time. */
  sumCalls(from: number, to: number): CallCounts {
    return this.#pointsByEntry
      .map((points) =>
        addCounts(interpolateCounts(points, to), interpolateCounts(points, from), -1),
      )
      .reduce((sum, counts) => addCounts(sum, counts), ZERO_COUNTS);
  }
}
