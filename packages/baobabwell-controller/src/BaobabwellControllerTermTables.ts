import type { TermContext } from './BaobabwellControllerContext';
import type { ChangePage, Row, RowRange, TableError } from '@baobabwell/platform';
import type { ClockReading, Result } from '@baobabwell/utils';

import { WatchErrorKind } from '@baobabwell/platform';
import { Activity } from '@baobabwell/processor-time';
import { addTime, createOk, getElapsedMs, readClocks, RetryDelay } from '@baobabwell/utils';

import {
  MAX_CONCURRENT_READS,
  MAX_WATCH_FAILURES,
  MAX_WATCH_RETRY_MS,
  ROWS_PER_SLICE,
  WATCH_RETRY_MS,
  WATCH_WAIT_MS,
} from './BaobabwellControllerConstants';

type TableContext = Pick<TermContext, 'store' | 'clock' | 'signal' | 'logger' | 'processorTime'>;

/** The stored rows of a range. */
export type ReadPage = ChangePage & {
  /** Time at which the rows were requested; they may have changed since. */
  readonly requestedAt: ClockReading;
};

/** A range to read; with `apply`, its rows are applied page by page and not kept. */
export type ReadRange = RowRange & { readonly apply?: (rows: readonly Row[]) => Promise<void> };

/** Position from which a table is watched. */
export type TablePosition = Pick<ReadPage, 'version' | 'requestedAt'>;

/** What a table that is read again has to show, and how often it is tried. */
export type RereadLimits = {
  /** Version up to which changes were applied. */
  readonly appliedVersion: number;
  readonly minVersion: number;
  readonly maxAttempts?: number;
};

/** Returns the position up to which all the given pages show the changes; `null` if one is missing. */
export function findCommonPosition(pages: readonly (ReadPage | null)[]): TablePosition | null {
  const complete = pages.filter((page) => page !== null);
  const [first] = complete.toSorted(
    (left, right) => left.requestedAt.monotonicMs - right.requestedAt.monotonicMs,
  );
  return first === undefined || complete.length < pages.length
    ? null
    : {
        version: Math.min(...complete.map(({ version }) => version)),
        requestedAt: first.requestedAt,
      };
}

/** Reads a watched table again; `null` when it was not read as a whole. */
export type TableRereader = {
  /** Reads after the history of the table was compacted, until the store answers. */
  readonly rereadCompacted: (version: number) => Promise<TablePosition | null>;
  /** Reads once while watches get no answer, if the store answers other calls. */
  readonly rereadUnwatched: (version: number) => Promise<TablePosition | null>;
};

/** Reads and watches the store's tables until the term ends. */
export class TermTables {
  readonly #context: TableContext;

  /**
   * Time at which the latest answered call was sent that showed all changes of a table: what was stored by
   * then is applied.
   */
  readonly #currentAt = new Map<string, ClockReading>();

  constructor(context: TableContext) {
    this.#context = context;
  }

  /**
   * Returns the time in ms since a table was known to be applied as stored; `Infinity` before it was read.
   */
  getAgeMs(table: string): number {
    const currentAt = this.#currentAt.get(table);
    return currentAt === undefined ? Infinity : getElapsedMs(this.#context.clock, currentAt);
  }

  /**
   * Reads several ranges, a few at a time: on a slow link, many answers at once would all be late, and
   * each would be requested again from the start.
   *
   * @param minVersion version that the store has shown to this owner before: an answer that is behind it
   * is not used.
   * @param maxAttempts number of attempts after which a range counts as not read.
   */
  async readAll(
    ranges: readonly ReadRange[],
    minVersion: number,
    maxAttempts = Infinity,
  ): Promise<readonly (ReadPage | null)[]> {
    const pages: (ReadPage | null)[] = [];
    const remaining = ranges.entries();
    const readRemaining = async (): Promise<void> => {
      for (const [index, range] of remaining) {
        pages[index] = await this.#read(range, minVersion, maxAttempts);
      }
    };
    await Promise.all(Array.from({ length: MAX_CONCURRENT_READS }, readRemaining));
    return pages;
  }

  /** Reads rows until the store answers, the attempts are used up or the term ends. */
  async #read(range: ReadRange, minVersion: number, maxAttempts: number): Promise<ReadPage | null> {
    const { clock, signal, logger } = this.#context;
    const retry = new RetryDelay(WATCH_RETRY_MS, MAX_WATCH_RETRY_MS);
    for (let attempt = 1; attempt <= maxAttempts && !signal.aborted; attempt += 1) {
      const requestedAt = readClocks(clock);
      const page = await this.#readOnce(range, minVersion);
      if (page.ok && page.value.version >= minVersion) {
        return { ...page.value, requestedAt };
      }
      const { table } = range;
      if (page.ok) {
        logger.recordWarning('store-read-behind', {
          table,
          version: page.value.version,
          minVersion,
        });
      } else {
        logger.recordWarning('store-read-failed', { table, reason: page.error.kind });
      }
      if (attempt < maxAttempts) {
        await clock.wait(retry.advance(), signal);
      }
    }
    return null;
  }

  /** Reads a range once; rows that are behind are not applied. */
  async #readOnce(
    { apply, ...range }: ReadRange,
    minVersion: number,
  ): Promise<Result<ChangePage, TableError>> {
    const { store } = this.#context;
    if (apply === undefined) {
      return store.list(range);
    }
    let isBehind = false;
    const reply = await store.readPages(range, async ({ rows, version }) => {
      isBehind ||= version < minVersion;
      await (isBehind ? undefined : apply(rows));
    });
    return reply.ok ? createOk({ rows: [], version: reply.value }) : reply;
  }

  /** Applies rows in slices, between which the ownership is renewed and answers are read. */
  async applyInSlices(rows: readonly Row[], apply: (row: Row) => void): Promise<void> {
    const { clock, signal } = this.#context;
    for (let start = 0; start < rows.length && !signal.aborted; start += ROWS_PER_SLICE) {
      rows.slice(start, start + ROWS_PER_SLICE).forEach(apply);
      await clock.wait(0, signal);
    }
  }

  /**
   * Watches a table for changes.
   *
   * @param rereader reads the whole table again where a watch does not show its changes.
   */
  async watch(
    table: string,
    from: TablePosition,
    apply: (row: Row) => void,
    rereader: TableRereader,
  ): Promise<void> {
    const { store, clock, signal, logger, processorTime } = this.#context;
    const retry = new RetryDelay(WATCH_RETRY_MS, MAX_WATCH_RETRY_MS);
    let { version } = from;
    // The first call shows at once what changed while the stored state was read and applied.
    let waitMs = 0;
    let failureCount = 0;
    const applyPosition = (position: TablePosition | null): void => {
      if (position !== null) {
        version = position.version;
        this.#currentAt.set(table, position.requestedAt);
      }
    };
    this.#currentAt.set(table, from.requestedAt);
    while (!signal.aborted) {
      const requestedAt = readClocks(clock);
      const page = await store.waitForChanges(table, version, waitMs, signal);
      if (page.ok) {
        processorTime.measure(Activity.Watches, () => page.value.rows.forEach(apply));
        version = page.value.version;
        if (page.value.isPartial !== true) {
          // The store answers without changes only after the whole wait, and so as of its end.
          const isTimedOut =
            page.value.rows.length === 0 && getElapsedMs(clock, requestedAt) >= waitMs;
          this.#currentAt.set(table, isTimedOut ? addTime(requestedAt, waitMs) : requestedAt);
        }
        retry.reset();
        failureCount = 0;
      } else if (page.error.kind === WatchErrorKind.HistoryCompacted) {
        logger.recordWarning('store-history-gone', { table, version });
        applyPosition(await rereader.rereadCompacted(version));
      } else if (!signal.aborted) {
        logger.recordWarning('store-watch-failed', { table, cause: page.error.cause });
        failureCount += 1;
        if (failureCount >= MAX_WATCH_FAILURES) {
          failureCount = 0;
          applyPosition(await rereader.rereadUnwatched(version));
        }
        await clock.wait(retry.advance(), signal);
      }
      waitMs = WATCH_WAIT_MS;
    }
  }
}
