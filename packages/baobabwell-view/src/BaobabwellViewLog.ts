import type { ViewChange } from '@baobabwell/model';
import type {
  JsonValue,
  Row,
  RowPage,
  RowWrite,
  TableError,
  TableService,
} from '@baobabwell/platform';
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

/** Value of the row of a transaction that was given up; versions begin with one. */
const ABANDONED = 0;

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
  /** False when the log no longer holds what stood at the position: it was restored or changed. */
  readonly isContinuous: boolean;
  /** True when changes after the position have been trimmed; a snapshot holds them. */
  readonly isTrimmed: boolean;
};

/** Why a change was not, or may not have been, added to the log. */
export type LogError =
  | { readonly kind: 'overtaken' }
  | { readonly kind: 'unavailable'; readonly cause: string }
  /** The change was given up for good; the same change may be tried under a new identifier. */
  | { readonly kind: 'abandoned' }
  | { readonly kind: 'unknown'; readonly transactionId: string };

/** What became of a transaction. */
export type TransactionFate =
  | { readonly kind: 'committed'; readonly version: number }
  | { readonly kind: 'abandoned' }
  | { readonly kind: 'absent' };

/** What became of a transaction that was settled. */
export type SettledTransaction =
  | { readonly kind: 'committed'; readonly position: LogPosition }
  /** It was not committed and never will be. */
  | { readonly kind: 'abandoned' };

/** Where the log begins. */
export const LOG_START: LogPosition = { viewVersion: 0, rowVersion: 0 };

/** Formats a version as the key of its log row, so that keys sort like versions. */
export function formatVersion(version: number): string {
  return String(version).padStart(VERSION_DIGITS, '0');
}

function parseChange(row: Row): ViewChange {
  return row.value as unknown as ViewChange;
}

function isAtPosition(row: Row | undefined, { viewVersion, rowVersion }: LogPosition): boolean {
  return row?.version === rowVersion && parseChange(row).version === viewVersion;
}

function isAfterGap(row: Row | undefined, { viewVersion, rowVersion }: LogPosition): boolean {
  return (
    row !== undefined && row.version > rowVersion && parseChange(row).version > viewVersion + 1
  );
}

/** Builds a page from rows that begin with the one at the position, unless it is the start. */
function buildPage(position: LogPosition, page: RowPage): LogPage {
  // Trimmed rows come with no value.
  const rows = page.rows.filter(({ value }) => value !== null);
  const isAtStart = position.rowVersion === LOG_START.rowVersion;
  const isTrimmed = isAfterGap(rows[0], position);
  const isContinuous = isAtStart || isTrimmed || isAtPosition(rows[0], position);
  const added = isAtStart ? rows : rows.slice(1);
  const last = added.at(-1);
  return {
    changes: added.map(parseChange),
    position:
      last === undefined
        ? position
        : { viewVersion: parseChange(last).version, rowVersion: last.version },
    isComplete: page.rows.length < LOG_PAGE_ROWS,
    serviceVersion: page.serviceVersion,
    isContinuous,
    isTrimmed,
  };
}

function buildWrites(change: ViewChange): readonly RowWrite[] {
  return [
    { table: HEAD_TABLE, key: HEAD_KEY, value: change.version },
    { table: LOG_TABLE, key: formatVersion(change.version), value: change as unknown as JsonValue },
    { table: TRANSACTION_TABLE, key: change.transactionId, value: change.version },
  ];
}

/** The versioned log of changes in the platform's table service. */
export class ViewLog {
  readonly #tables: TableService;

  readonly #clock: Clock;

  constructor(tables: TableService, clock: Clock) {
    this.#tables = tables;
    this.#clock = clock;
  }

  /** Reads the changes after a position, and checks that the position itself still stands. */
  async readSince(position: LogPosition): Promise<Result<LogPage, TableError>> {
    const since = Math.max(0, position.rowVersion - 1);
    const page = await this.#tables.readSince(LOG_TABLE, since, LOG_PAGE_ROWS);
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
      writes: buildWrites(change),
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
    return this.#settleChange(change);
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
   * Adds a change once more after the log lost it. Nothing is settled: a request that is still
   * under way can only add this same change at this same place.
   *
   * @returns the position of the change, or `null` when it was not added or no answer came.
   */
  async appendAgain(position: LogPosition, change: ViewChange): Promise<LogPosition | null> {
    const committed = await this.#tables.commit({
      conditions: [{ table: HEAD_TABLE, key: HEAD_KEY, version: position.rowVersion }],
      writes: buildWrites(change),
    });
    return committed.ok ? { viewVersion: change.version, rowVersion: committed.value } : null;
  }

  /**
   * Finds out what became of a transaction. Writing its row first makes sure that a request
   * still under way can no longer commit.
   *
   * @returns the fate, or `null` when the table service did not tell.
   */
  async settle(transactionId: string): Promise<SettledTransaction | null> {
    const abandoned = await this.#tables.commit({
      conditions: [{ table: TRANSACTION_TABLE, key: transactionId, version: 0 }],
      writes: [{ table: TRANSACTION_TABLE, key: transactionId, value: ABANDONED }],
    });
    if (abandoned.ok) {
      return { kind: 'abandoned' };
    }
    const row = await this.#tables.read(TRANSACTION_TABLE, transactionId);
    if (!row.ok || row.value === null) {
      return null;
    }
    const { value, version: rowVersion } = row.value;
    return value === ABANDONED
      ? { kind: 'abandoned' }
      : { kind: 'committed', position: { viewVersion: Number(value), rowVersion } };
  }

  async #settleChange({ transactionId }: ViewChange): Promise<Result<LogPosition, LogError>> {
    for (let attempt = 0; attempt < SETTLE_ATTEMPTS; attempt += 1) {
      await this.#clock.wait(SETTLE_INTERVAL_MS);
      const fate = await this.settle(transactionId);
      if (fate !== null) {
        return fate.kind === 'committed'
          ? createOk(fate.position)
          : createError({ kind: 'abandoned' });
      }
    }
    return createError({ kind: 'unknown', transactionId });
  }
}
