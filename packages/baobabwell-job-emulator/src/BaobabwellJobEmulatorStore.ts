import type {
  ChangePage,
  Row,
  RowCondition,
  RowRange,
  TableError,
  Transaction,
  WatchError,
} from '@baobabwell/platform';
import type { Clock, Random, Result } from '@baobabwell/utils';

import { TableErrorKind, WatchableTableService, WatchErrorKind } from '@baobabwell/platform';
import { createError, createOk } from '@baobabwell/utils';

/** What is wrong with the store. */
export type StoreFaults = {
  readonly isDown: boolean;
  /** Share of the writes that are done and not answered, or done late. */
  readonly lostFraction: number;
  readonly slowMs: number;
};

export const NO_STORE_FAULTS: StoreFaults = { isDown: false, lostFraction: 0, slowMs: 0 };

/** Most conditions and writes of one transaction. */
const MAX_TRANSACTION_SIZE = 100;

/** Time that an answer takes, in ms. */
const LATENCY_MS = 4;

/** Time after which a caller gives up, in ms. */
const TIMEOUT_MS = 600;

/** Latest time at which a lost write is carried out, in ms. */
const MAX_DELAY_MS = 3_000;

const POLL_INTERVAL_MS = 20;

type StoredRow = Row & { readonly table: string; readonly part: string };

/** The rows that all processes share. */
export class EmulatedRows {
  faults: StoreFaults = NO_STORE_FAULTS;

  #version = 0;

  readonly #rows = new Map<string, StoredRow>();

  /** Version up to which changes are no longer told. */
  #compactedVersion = 0;

  get version(): number {
    return this.#version;
  }

  /** Applies a transaction, or gives the conditions that do not hold with their versions. */
  apply({ conditions, writes }: Transaction): readonly RowCondition[] | null {
    const current = conditions.map((condition) => ({
      ...condition,
      version: this.#getVersion(condition),
    }));
    if (current.some(({ version }, index) => version !== conditions[index]?.version)) {
      return current;
    }
    this.#version += 1;
    writes.forEach(({ table, part = '', key, value }) => {
      const row = { table, part, key, value, version: this.#version };
      this.#rows.set(`${table}/${part}/${key}`, row);
    });
    return null;
  }

  /** Drops the history of all changes so far; the rows stay. */
  compactHistory(): void {
    this.#compactedVersion = this.#version;
  }

  /** True when changes since a version can still be told. */
  hasHistorySince(version: number): boolean {
    return version >= this.#compactedVersion;
  }

  list({ table, part = '', from = '', to }: RowRange): readonly Row[] {
    return [...this.#rows.values()]
      .filter((row) => row.table === table && row.part === part && row.value !== null)
      .filter(({ key }) => key >= from && (to === undefined || key < to))
      .toSorted((left, right) => (left.key < right.key ? -1 : 1));
  }

  listSince(table: string, version: number): readonly Row[] {
    return [...this.#rows.values()]
      .filter((row) => row.table === table && row.version > version)
      .toSorted((left, right) => left.version - right.version);
  }

  #getVersion({ table, part = '', key }: RowCondition): number {
    const row = this.#rows.get(`${table}/${part}/${key}`);
    return row === undefined || row.value === null ? 0 : row.version;
  }
}

/** The store as one process reaches it. */
export class EmulatedJobStore extends WatchableTableService {
  /** The store turns this process away. */
  isPartitioned = false;

  readonly #clock: Clock;

  readonly #sharedClock: Clock;

  readonly #random: Random;

  readonly #rows: EmulatedRows;

  /** @param sharedClock clock on which a late write is carried out, whatever becomes of the process. */
  constructor(clock: Clock, sharedClock: Clock, random: Random, rows: EmulatedRows) {
    super();
    this.#clock = clock;
    this.#sharedClock = sharedClock;
    this.#random = random;
    this.#rows = rows;
  }

  override async commit(transaction: Transaction): Promise<Result<number, TableError>> {
    if (!(await this.#waitForStore())) {
      return createError(this.#createUnavailable(false));
    }
    if (transaction.conditions.length + transaction.writes.length > MAX_TRANSACTION_SIZE) {
      return createError({ ...this.#createUnavailable(false), cause: 'too many entries' });
    }
    const { lostFraction } = this.#rows.faults;
    if (lostFraction > 0 && this.#random.getFraction() < lostFraction) {
      const delayMs = this.#random.getFraction() < 0.5 ? 0 : this.#random.getInteger(MAX_DELAY_MS);
      this.#sharedClock.startTimer(delayMs, () => this.#rows.apply(transaction));
      await this.#clock.wait(TIMEOUT_MS);
      return createError(this.#createUnavailable(true));
    }
    const conflicts = this.#rows.apply(transaction);
    const { version } = this.#rows;
    await this.#clock.wait(LATENCY_MS);
    return conflicts === null
      ? createOk(version)
      : createError({ kind: TableErrorKind.Conflict, conflicts });
  }

  override async list(range: RowRange): Promise<Result<ChangePage, TableError>> {
    if (!(await this.#waitForStore())) {
      return createError(this.#createUnavailable(false));
    }
    return createOk({ rows: this.#rows.list(range), version: this.#rows.version });
  }

  override async waitForChanges(
    table: string,
    version: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<ChangePage, WatchError>> {
    const endsAtMs = this.#clock.getNow() + waitMs;
    do {
      if (!(await this.#waitForStore())) {
        return createError({ kind: WatchErrorKind.Unavailable, cause: 'store down' });
      }
      if (!this.#rows.hasHistorySince(version)) {
        return createError({ kind: WatchErrorKind.HistoryCompacted, cause: 'history dropped' });
      }
      const rows = this.#rows.listSince(table, version);
      if (rows.length > 0) {
        return createOk({ rows, version: this.#rows.version });
      }
      await this.#clock.wait(POLL_INTERVAL_MS, signal);
    } while (this.#clock.getNow() < endsAtMs && !signal.aborted);
    return createOk({ rows: [], version });
  }

  /** Waits for the store; gives false when it does not answer. */
  async #waitForStore(): Promise<boolean> {
    const { isDown, slowMs } = this.#rows.faults;
    await this.#clock.wait(isDown || this.isPartitioned ? TIMEOUT_MS : LATENCY_MS + slowMs);
    return !isDown && !this.isPartitioned;
  }

  #createUnavailable(mayHaveCommitted: boolean) {
    return { kind: TableErrorKind.Unavailable, mayHaveCommitted, cause: 'store down' } as const;
  }
}
