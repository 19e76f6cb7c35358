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

/** Injected faults of the store. */
export type StoreFaults = {
  readonly isDown: boolean;
  /** True while all writes are refused; reads and watches are answered. */
  readonly refusesWrites: boolean;
  /** Fraction of the writes that get no answer and are applied at once or late. */
  readonly lostFraction: number;
  readonly slowMs: number;
  /** Time by which the answers to applied transactions are late, in ms. */
  readonly commitAnswerMs: number;
};

export const NO_STORE_FAULTS: StoreFaults = {
  isDown: false,
  refusesWrites: false,
  lostFraction: 0,
  slowMs: 0,
  commitAnswerMs: 0,
};

/** Injected faults of the calls of one process that concern one table; its other calls are answered. */
export type TableFaults = {
  /** Time by which the answers to lists of rows are late, in ms. */
  readonly listAnswerMs: number;
  /** True while watches get no answer. */
  readonly hasSilentWatches: boolean;
  /** True while the answer to a watch names the newest version but contains no rows. */
  readonly hasEmptyChanges: boolean;
};

export const NO_TABLE_FAULTS: TableFaults = {
  listAnswerMs: 0,
  hasSilentWatches: false,
  hasEmptyChanges: false,
};

/** Maximum number of conditions and writes of one transaction. */
const MAX_TRANSACTION_SIZE = 100;

/** Time until the store answers, in ms. */
const LATENCY_MS = 4;

/** Time after which a request counts as unanswered, in ms. */
const TIMEOUT_MS = 600;

/** Maximum delay after which an unanswered write is applied, in ms. */
const MAX_DELAY_MS = 3_000;

const POLL_INTERVAL_MS = 20;

type StoredRow = Row & { readonly table: string; readonly part: string };

function listRange(
  rows: ReadonlyMap<string, StoredRow>,
  { table, part = '', from = '', to }: RowRange,
): readonly Row[] {
  return [...rows.values()]
    .filter((row) => row.table === table && row.part === part && row.value !== null)
    .filter(({ key }) => key >= from && (to === undefined || key < to))
    .toSorted((left, right) => (left.key < right.key ? -1 : 1));
}

/** The rows of the store, shared by all processes. */
export class EmulatedRows {
  faults: StoreFaults = NO_STORE_FAULTS;

  /** Transactions that got no answer; each may be applied late. */
  readonly unanswered: Transaction[] = [];

  #version = 0;

  readonly #rows = new Map<string, StoredRow>();

  /** What reads show while they are behind; `null` while they are current. */
  #readSnapshot: {
    readonly rows: ReadonlyMap<string, StoredRow>;
    readonly version: number;
  } | null = null;

  /** Version up to which the change history is compacted. */
  #compactedVersion = 0;

  get version(): number {
    return this.#version;
  }

  /**
   * Applies a transaction and returns `null`, or returns all its conditions with the current
   * versions when one does not hold.
   */
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

  /** Compacts the history of all changes so far; the rows remain. */
  compactHistory(): void {
    this.#compactedVersion = this.#version;
  }

  /** Returns true when the changes since a version are still available. */
  hasHistorySince(version: number): boolean {
    return version >= this.#compactedVersion;
  }

  /** Keeps reads as of now until {@link releaseReads} is called; watches and writes go on. */
  delayReads(): void {
    this.#readSnapshot = { rows: new Map(this.#rows), version: this.#version };
  }

  releaseReads(): void {
    this.#readSnapshot = null;
  }

  list(range: RowRange): readonly Row[] {
    return listRange(this.#rows, range);
  }

  /** Returns what a process reads: rows that may be behind, and the version at which they were current. */
  read(range: RowRange): ChangePage {
    const { rows, version } = this.#readSnapshot ?? { rows: this.#rows, version: this.#version };
    return { rows: listRange(rows, range), version };
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

/** Connection of one process to the store. */
export class EmulatedJobStore extends WatchableTableService {
  /** True while this process cannot reach the store. */
  isPartitioned = false;

  /** Faults of this process's calls, by table. */
  readonly tableFaults = new Map<string, TableFaults>();

  readonly #clock: Clock;

  readonly #sharedClock: Clock;

  readonly #random: Random;

  readonly #rows: EmulatedRows;

  /** @param sharedClock applies late writes even when the process is paused or dead by then. */
  constructor(clock: Clock, sharedClock: Clock, random: Random, rows: EmulatedRows) {
    super();
    this.#clock = clock;
    this.#sharedClock = sharedClock;
    this.#random = random;
    this.#rows = rows;
  }

  override async commit(transaction: Transaction): Promise<Result<number, TableError>> {
    if (!(await this.#waitForStore()) || this.#rows.faults.refusesWrites) {
      return createError(this.#createUnavailable(false));
    }
    if (transaction.conditions.length + transaction.writes.length > MAX_TRANSACTION_SIZE) {
      return createError({
        ...this.#createUnavailable(false),
        cause: 'too many conditions and writes',
      });
    }
    const { lostFraction } = this.#rows.faults;
    if (lostFraction > 0 && this.#random.getFraction() < lostFraction) {
      this.#rows.unanswered.push(transaction);
      const delayMs = this.#random.getFraction() < 0.5 ? 0 : this.#random.getInteger(MAX_DELAY_MS);
      this.#sharedClock.startTimer(delayMs, () => this.#rows.apply(transaction));
      await this.#clock.wait(TIMEOUT_MS);
      return createError(this.#createUnavailable(true));
    }
    const conflicts = this.#rows.apply(transaction);
    const { version } = this.#rows;
    await this.#clock.wait(LATENCY_MS + this.#rows.faults.commitAnswerMs);
    return conflicts === null
      ? createOk(version)
      : createError({ kind: TableErrorKind.Conflict, conflicts });
  }

  override async list(range: RowRange): Promise<Result<ChangePage, TableError>> {
    if (!(await this.#waitForStore())) {
      return createError(this.#createUnavailable(false));
    }
    const page = this.#rows.read(range);
    const { listAnswerMs } = this.#getTableFaults(range.table);
    if (listAnswerMs > 0) {
      await this.#clock.wait(listAnswerMs);
    }
    return createOk(page);
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
        return createError({ kind: WatchErrorKind.HistoryCompacted, cause: 'history compacted' });
      }
      const rows = this.#rows.listSince(table, version);
      const { hasSilentWatches, hasEmptyChanges } = this.#getTableFaults(table);
      if (rows.length > 0 && !hasSilentWatches) {
        return createOk({ rows: hasEmptyChanges ? [] : rows, version: this.#rows.version });
      }
      await this.#clock.wait(POLL_INTERVAL_MS, signal);
    } while (this.#clock.getNow() < endsAtMs && !signal.aborted);
    if (this.#getTableFaults(table).hasSilentWatches) {
      await this.#clock.wait(TIMEOUT_MS, signal);
      return createError({ kind: WatchErrorKind.Unavailable, cause: 'no answer' });
    }
    return createOk({ rows: [], version });
  }

  #getTableFaults(table: string): TableFaults {
    return this.tableFaults.get(table) ?? NO_TABLE_FAULTS;
  }

  /** Waits for the store; returns false when it does not answer, also if it goes down meanwhile. */
  async #waitForStore(): Promise<boolean> {
    const { isDown, slowMs } = this.#rows.faults;
    await this.#clock.wait(isDown || this.isPartitioned ? TIMEOUT_MS : LATENCY_MS + slowMs);
    return !isDown && !this.#rows.faults.isDown && !this.isPartitioned;
  }

  #createUnavailable(mayHaveCommitted: boolean) {
    return { kind: TableErrorKind.Unavailable, mayHaveCommitted, cause: 'store down' } as const;
  }
}
