/** Counters of several entries as one curve over time, across restarts. */
import type { ObjectiveCounts, Scrape } from './BaobabwellReportsScrapes';

/** Calls over some time, by objective result. */
export type CallCounts = ObjectiveCounts;

type Point = { readonly at: number; readonly counts: CallCounts };

const ZERO: CallCounts = { met: 0, slow: 0, failed: 0 };
const RESTART_TOLERANCE_MS = 1_500;

function addCounts(a: CallCounts, b: CallCounts, factor = 1): CallCounts {
  return {
    met: a.met + b.met * factor,
    slow: a.slow + b.slow * factor,
    failed: a.failed + b.failed * factor,
  };
}

/** Builds the curve of one entry; a restart, which sets its counters to zero, leaves it level. */
function buildPoints(scrapes: readonly Scrape[], queue: string): readonly Point[] {
  const points: Point[] = [];
  let base = ZERO;
  let startedAt = Number.NEGATIVE_INFINITY;
  scrapes.forEach((scrape) => {
    if (Math.abs(scrape.startedAt - startedAt) > RESTART_TOLERANCE_MS) {
      base = points.at(-1)?.counts ?? ZERO;
      startedAt = scrape.startedAt;
      points.push({ at: Math.max(startedAt, points.at(-1)?.at ?? startedAt), counts: base });
    }
    points.push({ at: scrape.at, counts: addCounts(base, scrape.queues[queue] ?? ZERO) });
  });
  return points;
}

/** Finds the first point after a moment by bisection; points are in the order of their time. */
function findNext(points: readonly Point[], at: number): number {
  let low = 0;
  let high = points.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if ((points[middle] as Point).at > at) {
      high = middle;
    } else {
      low = middle + 1;
    }
  }
  return low;
}

function getCountsAt(points: readonly Point[], at: number): CallCounts {
  const next = findNext(points, at);
  const after = points[next];
  const before = points[next - 1];
  if (before === undefined) {
    return ZERO;
  }
  if (after === undefined) {
    return before.counts;
  }
  const fraction = (at - before.at) / (after.at - before.at);
  const gained = addCounts(after.counts, before.counts, -1);
  return addCounts(before.counts, gained, fraction);
}

/** The calls of one queue over time, summed over the entries and interpolated between scrapes. */
export class CallCurve {
  readonly #pointsByEntry: readonly (readonly Point[])[];

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

  /** Wall-clock milliseconds of the first and the last thing known, or `null`. */
  getSpan(): { readonly from: number; readonly to: number } | null {
    const firsts = this.#pointsByEntry.flatMap((points) => points[0]?.at ?? []);
    const lasts = this.#pointsByEntry.flatMap((points) => points.at(-1)?.at ?? []);
    return firsts.length === 0 ? null : { from: Math.min(...firsts), to: Math.max(...lasts) };
  }

  /** Sums the calls that ended between two moments. */
  sumCalls(from: number, to: number): CallCounts {
    return this.#pointsByEntry
      .map((points) => addCounts(getCountsAt(points, to), getCountsAt(points, from), -1))
      .reduce((sum, counts) => addCounts(sum, counts), ZERO);
  }
}
