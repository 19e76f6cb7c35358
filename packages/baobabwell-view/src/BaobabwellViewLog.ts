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
  LOG_TABLE,
  MAX_PAGE_ROWS,
  MAX_RESOLVE_ATTEMPTS,
  RESOLVE_INTERVAL_MS,
  TRANSACTION_TABLE,
} from './BaobabwellViewConstants';

const VERSION_KEY_DIGITS = 12;

/** Value of the row of an abandoned transaction; versions of changes start at one. */
const ABANDONED_VERSION = 0;

/** Position in the log up to which a reader has read. */
export type LogPosition = {
  /** Version of the last change read; zero at the start of the log. */
  readonly viewVersion: number;
  /** Version that the table service assigned to the row of that change. */
  readonly rowVersion: number;
};

/** Result of one read of the log. */
export type LogPage = {
  readonly changes: readonly ViewChange[];
  readonly position: LogPosition;
  /** True when the log had no further changes at the time of the read. */
  readonly isComplete: boolean;
  readonly serviceVersion: number;
  /** False when the change at the position is missing or replaced, as after a restore. */
  readonly isContinuous: boolean;
  /** True when changes after the position have been trimmed; a snapshot contains them. */
  readonly isTrimmed: boolean;
};

/** Reason why a change was not, or may not have been, added to the log. */
export type LogError =
  /** Another change was added at this position first. */
  | { readonly kind: 'overtaken' }
  | { readonly kind: 'unavailable'; readonly cause: string }
  /** The transaction will never commit; the change may be retried under a new identifier. */
  | { readonly kind: 'abandoned' }
  | { readonly kind: 'unknown'; readonly transactionId: string };

/** Outcome of a transaction according to the table service. */
export type TransactionOutcome =
  | { readonly kind: 'committed'; readonly version: number }
  | { readonly kind: 'abandoned' }
  | { readonly kind: 'absent' };

/** Final outcome of a resolved transaction. */
export type ResolvedTransaction =
  | { readonly kind: 'committed'; readonly position: LogPosition }
  /** The transaction did not commit and never will. */
  | { readonly kind: 'abandoned' };

/** Position before the first change. */
export const LOG_START: LogPosition = { viewVersion: 0, rowVersion: 0 };

/** Formats a version as the key of its log row, padded so that keys sort by version. */
export function formatVersion(version: number): string {
  return String(version).padStart(VERSION_KEY_DIGITS, '0');
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

/** Builds a page from rows that start with the row at the position, except at the log's start. */
function buildPage(position: LogPosition, page: RowPage): LogPage {
  // The value of a trimmed row is `null`.
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
    isComplete: page.rows.length < MAX_PAGE_ROWS,
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

/** Versioned log of changes in the platform's table service. */
export class ViewLog {
  readonly #tables: TableService;

  readonly #clock: Clock;

  constructor(tables: TableService, clock: Clock) {
    this.#tables = tables;
    this.#clock = clock;
  }

  /** Reads the changes after a position and checks that the change at the position still exists. */
  async readSince(position: LogPosition): Promise<Result<LogPage, TableError>> {
    const since = Math.max(0, position.rowVersion - 1);
    const page = await this.#tables.readSince(LOG_TABLE, since, MAX_PAGE_ROWS);
    return page.ok ? createOk(buildPage(position, page.value)) : page;
  }

  /**
   * Adds a change after a position.
   *
   * @returns the position of the new change, or the reason why it was not added. `unknown` means
   *   that the outcome could not be resolved within the allowed attempts.
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
    return this.#resolveAppend(change);
  }

  /**
   * Finds the outcome of a transaction; fails while the table service cannot be read. An absent
   * transaction may still commit for as long as a request can be in flight.
   */
  async findTransaction(id: string): Promise<Result<TransactionOutcome, string>> {
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
   * Appends a change again after the log lost it. An unknown outcome needs no resolution: a request
   * that is still in flight can only add the same change at the same position.
   *
   * @returns the position of the change; `null` when it was not added or the outcome is unknown.
   */
  async reappend(position: LogPosition, change: ViewChange): Promise<LogPosition | null> {
    const committed = await this.#tables.commit({
      conditions: [{ table: HEAD_TABLE, key: HEAD_KEY, version: position.rowVersion }],
      writes: buildWrites(change),
    });
    return committed.ok ? { viewVersion: change.version, rowVersion: committed.value } : null;
  }

  /**
   * Resolves the outcome of a transaction. It first tries to write the transaction's row as
   * abandoned, so that a request that is still in flight can no longer commit.
   *
   * @returns the final outcome; `null` when it could not be read from the table service.
   */
  async resolveTransaction(transactionId: string): Promise<ResolvedTransaction | null> {
    const abandoned = await this.#tables.commit({
      conditions: [{ table: TRANSACTION_TABLE, key: transactionId, version: 0 }],
      writes: [{ table: TRANSACTION_TABLE, key: transactionId, value: ABANDONED_VERSION }],
    });
    if (abandoned.ok) {
      return { kind: 'abandoned' };
    }
    const row = await this.#tables.read(TRANSACTION_TABLE, transactionId);
    if (!row.ok || row.value === null) {
      return null;
    }
    const { value, version: rowVersion } = row.value;
    return value === ABANDONED_VERSION
      ? { kind: 'abandoned' }
      : { kind: 'committed', position: { viewVersion: Number(value), rowVersion } };
  }

  async #resolveAppend({ transactionId }: ViewChange): Promise<Result<LogPosition, LogError>> {
    for (let attempt = 0; attempt < MAX_RESOLVE_ATTEMPTS; attempt += 1) {
      await this.#clock.wait(RESOLVE_INTERVAL_MS);
      const outcome = await this.resolveTransaction(transactionId);
      if (outcome !== null) {
        return outcome.kind === 'committed'
          ? createOk(outcome.position)
          : createError({ kind: 'abandoned' });
      }
    }
    return createError({ kind: 'unknown', transactionId });
  }
}
