import type { Row, RowPage, TableError } from './BaobabwellPlatformTable';
import type { Result } from '@baobabwell/utils';

import { createError, createOk } from '@baobabwell/utils';

import { TableErrorKind, TableService } from './BaobabwellPlatformTable';

/** Keys of one part of a table; `to` is excluded. */
export type RowRange = {
  readonly table: string;
  readonly part?: string;
  readonly from?: string;
  readonly to?: string;
};

/** Rows that changed, oldest first; removed rows have the value `null`. */
export type ChangePage = {
  readonly rows: readonly Row[];
  /** Version from which to go on. */
  readonly version: number;
};

/** Kinds of failure of a watch. */
export enum WatchErrorKind {
  /** The service no longer holds the changes since the given version; read the table anew. */
  HistoryGone = 'history-gone',
  Unavailable = 'unavailable',
}

/** Why a watch failed. */
export type WatchError = { readonly kind: WatchErrorKind; readonly cause: string };

/** Gets the range that holds one key only. */
export function getKeyRange(table: string, key: string): RowRange {
  return { table, from: key, to: `${key}\u0001` };
}

/** A table service that can list a table and wait for its next change. */
export abstract class WatchableTableService extends TableService {
  /** Lists rows as of one moment, by ascending key. */
  abstract list(range: RowRange): Promise<Result<ChangePage, TableError>>;

  /** Waits up to `waitMs` for changes of any part of a table after a version. */
  abstract waitForChanges(
    table: string,
    version: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<ChangePage, WatchError>>;

  override async read(table: string, key: string): Promise<Result<Row | null, TableError>> {
    const page = await this.list(getKeyRange(table, key));
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
