import type { TermContext } from './BaobabwellControllerContext';
import type { ChangePage, Row, RowRange } from '@baobabwell/platform';

import { WatchErrorKind } from '@baobabwell/platform';
import { RetryDelay } from '@baobabwell/utils';

import {
  MAX_CONCURRENT_READS,
  MAX_WATCH_RETRY_MS,
  ROWS_PER_SLICE,
  WATCH_RETRY_MS,
  WATCH_WAIT_MS,
} from './BaobabwellControllerConstants';

type TableContext = Pick<TermContext, 'store' | 'clock' | 'signal' | 'logger'>;

/** Reads and watches the store's tables until the term ends. */
export class TermTables {
  readonly #context: TableContext;

  constructor(context: TableContext) {
    this.#context = context;
  }

  /**
   * Reads several ranges, a few at a time: on a slow link, many answers at once would all be late, and
   * each would be requested again from the start.
   */
  async readAll(ranges: readonly RowRange[]): Promise<readonly (ChangePage | null)[]> {
    const pages: (ChangePage | null)[] = [];
    const remaining = ranges.entries();
    const readRemaining = async (): Promise<void> => {
      for (const [index, range] of remaining) {
        pages[index] = await this.#read(range);
      }
    };
    await Promise.all(Array.from({ length: MAX_CONCURRENT_READS }, readRemaining));
    return pages;
  }

  /** Reads rows until the store answers or the term ends. */
  async #read(range: RowRange): Promise<ChangePage | null> {
    const { store, clock, signal, logger } = this.#context;
    const retry = new RetryDelay(WATCH_RETRY_MS, MAX_WATCH_RETRY_MS);
    while (!signal.aborted) {
      const page = await store.list(range);
      if (page.ok) {
        return page.value;
      }
      logger.recordWarning('store-read-failed', { table: range.table, reason: page.error.kind });
      await clock.wait(retry.advance(), signal);
    }
    return null;
  }

  /** Applies rows in slices, between which the ownership is renewed and answers are read. */
  async applyInSlices(
    pages: readonly (ChangePage | null | undefined)[],
    apply: (row: Row) => void,
  ): Promise<void> {
    const { clock, signal } = this.#context;
    const rows = pages.flatMap((page) => page?.rows ?? []);
    for (let start = 0; start < rows.length && !signal.aborted; start += ROWS_PER_SLICE) {
      rows.slice(start, start + ROWS_PER_SLICE).forEach(apply);
      await clock.wait(0, signal);
    }
  }

  /**
   * Watches a table for changes.
   *
   * @param reread reads the whole table again, after its history was compacted.
   */
  async watch(
    table: string,
    from: number,
    apply: (row: Row) => void,
    reread: (version: number) => Promise<number | null>,
  ): Promise<void> {
    const { store, clock, signal, logger } = this.#context;
    const retry = new RetryDelay(WATCH_RETRY_MS, MAX_WATCH_RETRY_MS);
    let version = from;
    while (!signal.aborted) {
      const page = await store.waitForChanges(table, version, WATCH_WAIT_MS, signal);
      if (page.ok) {
        page.value.rows.forEach(apply);
        version = page.value.version;
        retry.reset();
      } else if (page.error.kind === WatchErrorKind.HistoryCompacted) {
        logger.recordWarning('store-history-gone', { table, version });
        version = (await reread(version)) ?? version;
      } else if (!signal.aborted) {
        logger.recordWarning('store-watch-failed', { table, cause: page.error.cause });
        await clock.wait(retry.advance(), signal);
      }
    }
  }
}
