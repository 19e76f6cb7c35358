import type { ViewChange } from '@baobabwell/model';
import type { JsonValue, Row, RowPage, TableError, TableService } from '@baobabwell/platform';
import type { Clock, Result } from '@baobabwell/utils';

import { TableErrorKind } from '@baobabwell/platform';
import { createError, createOk } from '@baobabwell/utils';

import {
  HEAD_KEY,
  HEAD_TABLE,
  LOG_PAGE_ROWS,
  LOG_TABLE,
  SETTLE_ATTEMPTS,
  SETTLE_INTERVAL_MS,
  TRANSACTION_TABLE,
} from './BaobabwellViewConstants';

const VERSION_DIGITS = 12;

/** Place in the log up to which a reader has read. */
export type LogPosition = {
  /** Version of the last change, zero at the start. */
  readonly viewVersion: number;
  /** Version that the table service gave to that change's row. */
  readonly rowVersion: number;
};

/** What one read of the log gave. */
export type LogPage = {
  readonly changes: readonly ViewChange[];
  readonly position: LogPosition;
  /** True when no further change existed at the time of the read. */
  readonly isComplete: boolean;
  readonly serviceVersion: number;
};

/** Why a change was not, or may not have been, added to the log. */
export type LogError =
  | { readonly kind: 'overtaken' }
  | { readonly kind: 'unavailable'; readonly cause: string }
  | { readonly kind: 'unknown'; readonly transactionId: string };

/** What became of a transaction. */
export type TransactionFate =
  | { readonly kind: 'committed'; readonly version: number }
  | { readonly kind: 'abandoned' }
  | { readonly kind: 'absent' };

/** Where the log begins. */
export const LOG_START: LogPosition = { viewVersion: 0, rowVersion: 0 };

function formatVersion(version: number): string {
  return String(version).padStart(VERSION_DIGITS, '0');
}

function parseChange(row: Row): ViewChange {
  return row.value as unknown as ViewChange;
}

function buildPage(position: LogPosition, { rows, serviceVersion }: RowPage): LogPage {
  const last = rows.at(-1);
  return {
    changes: rows.map(parseChange),
    position:
      last === undefined
        ? position
        : { viewVersion: parseChange(last).version, rowVersion: last.version },
    isComplete: rows.length < LOG_PAGE_ROWS,
    serviceVersion,
  };
}

/** The versioned log of changes in the platform's table service. */
export class ViewLog {
  readonly #tables: TableService;

  readonly #clock: Clock;

  constructor(tables: TableService, clock: Clock) {
    this.#tables = tables;
    this.#clock = clock;
  }

  /** Reads the changes after a position. */
  async readSince(position: LogPosition): Promise<Result<LogPage, TableError>> {
    const page = await this.#tables.readSince(LOG_TABLE, position.rowVersion, LOG_PAGE_ROWS);
    return page.ok ? createOk(buildPage(position, page.value)) : page;
  }

  /**
   * Adds a change after a position.
   *
   * @returns the position of the new change, or why it was not added. `unknown` means that the
   *   platform could not tell in time whether it was.
   */
  async append(position: LogPosition, change: ViewChange): Promise<Result<LogPosition, LogError>> {
    const committed = await this.#tables.commit({
      conditions: [
        { table: HEAD_TABLE, key: HEAD_KEY, version: position.rowVersion },
        { table: TRANSACTION_TABLE, key: change.transactionId, version: 0 },
      ],
      writes: [
        { table: HEAD_TABLE, key: HEAD_KEY, value: change.version },
        {
          table: LOG_TABLE,
          key: formatVersion(change.version),
          value: change as unknown as JsonValue,
        },
        { table: TRANSACTION_TABLE, key: change.transactionId, value: change.version },
      ],
    });
    if (committed.ok) {
      return createOk({ viewVersion: change.version, rowVersion: committed.value });
    }
    if (committed.error.kind === TableErrorKind.Conflict) {
      return createError({ kind: 'overtaken' });
    }
    if (!committed.error.mayHaveCommitted) {
      return createError({ kind: 'unavailable', cause: committed.error.cause });
    }
    return this.#settle(change);
  }

  /**
   * Finds what became of a transaction; fails while the table service cannot be read. An absent
   * one may still be under way for as long as a request may take.
   */
  async findTransaction(id: string): Promise<Result<TransactionFate, string>> {
    const row = await this.#tables.read(TRANSACTION_TABLE, id);
    if (!row.ok) {
      return createError('the table service could not be read');
    }
    if (row.value === null) {
      return createOk({ kind: 'absent' });
    }
    const version = row.value.value as number;
    return createOk(version === 0 ? { kind: 'abandoned' } : { kind: 'committed', version });
  }

  /**
   * Finds out whether a transaction was committed. Writing its row first makes sure that a
   * request still under way can no longer commit.
   */
  async #settle(change: ViewChange): Promise<Result<LogPosition, LogError>> {
    const { transactionId } = change;
    for (let attempt = 0; attempt < SETTLE_ATTEMPTS; attempt += 1) {
      await this.#clock.wait(SETTLE_INTERVAL_MS);
      const abandoned = await this.#tables.commit({
        conditions: [{ table: TRANSACTION_TABLE, key: transactionId, version: 0 }],
        writes: [{ table: TRANSACTION_TABLE, key: transactionId, value: 0 }],
      });
      if (abandoned.ok) {
        return createError({ kind: 'unavailable', cause: 'the transaction was abandoned' });
      }
      if (abandoned.error.kind === TableErrorKind.Conflict) {
        const row = await this.#tables.read(TRANSACTION_TABLE, transactionId);
        if (row.ok && row.value !== null) {
          return row.value.value === 0
            ? createError({ kind: 'unavailable', cause: 'the transaction was abandoned' })
            : createOk({ viewVersion: change.version, rowVersion: row.value.version });
        }
      }
    }
    return createError({ kind: 'unknown', transactionId });
  }
}
