import type { CallLimits, Row, RowPage, TableError } from './BaobabwellPlatformTable';
import type { Result } from '@baobabwell/utils';

import { createError, createOk } from '@baobabwell/utils';

import { TableErrorKind, TableService } from './BaobabwellPlatformTable';

/** Range of keys in one partition of a table; `to` is exclusive. */
export type RowRange = {
  readonly table: string;
  readonly part?: string;
  readonly from?: string;
  readonly to?: string;
};

/** Rows that changed, oldest first; removed rows have the value `null`. */
export type ChangePage = {
  readonly rows: readonly Row[];
  /** Version after which to read the next changes. */
  readonly version: number;
  /** True when the page is as long as the store allows, so that later changes may be missing from it. */
  readonly isPartial?: boolean;
};

/** Kinds of failure of a watch. */
export enum WatchErrorKind {
  /** The changes after the given version are compacted; the table must be listed again. */
  HistoryCompacted = 'history-gone',
  Unavailable = 'unavailable',
}

/** Failure of a watch. */
export type WatchError = { readonly kind: WatchErrorKind; readonly cause: string };

/** Returns the range that contains only the given key. */
export function getKeyRange(table: string, key: string): RowRange {
  return { table, from: key, to: `${key}\u0001` };
}

/** A table service that can list a table and wait for its next change. */
export abstract class WatchableTableService extends TableService {
  /** Lists the rows of a range as of one point in time, by ascending key. */
  abstract list(range: RowRange, limits?: CallLimits): Promise<Result<ChangePage, TableError>>;

  /**
   * Reads the rows of a range page by page, each after the one before was handled, so that a table may be
   * larger than the memory of this process. Later pages may be newer.
   *
   * @returns the version of the first page.
   */
  async readPages(
    range: RowRange,
    handle: (page: ChangePage) => Promise<void>,
  ): Promise<Result<number, TableError>> {
    const page = await this.list(range);
    if (!page.ok) {
      return page;
    }
    await handle(page.value);
    return createOk(page.value.version);
  }

  /** Waits up to `waitMs` for changes after a version in any partition of a table. */
  abstract waitForChanges(
    table: string,
    version: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<ChangePage, WatchError>>;

  override async read(
    table: string,
    key: string,
    limits?: CallLimits,
  ): Promise<Result<Row | null, TableError>> {
    const page = await this.list(getKeyRange(table, key), limits);
    return page.ok ? createOk(page.value.rows.find((row) => row.key === key) ?? null) : page;
  }

  override async readSince(
    table: string,
    version: number,
    _limit: number,
  ): Promise<Result<RowPage, TableError>> {
    const changes = await this.waitForChanges(table, version, 0, new AbortController().signal);
    if (changes.ok) {
      return createOk({ rows: changes.value.rows, serviceVersion: changes.value.version });
    }
    const { cause } = changes.error;
    return createError({ kind: TableErrorKind.Unavailable, mayHaveCommitted: false, cause });
  }
}
