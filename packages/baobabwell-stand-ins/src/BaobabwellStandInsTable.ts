import type { PlatformFaults } from './BaobabwellStandInsFaults';
import type { Row, RowCondition, RowPage, TableError, Transaction } from '@baobabwell/platform';
import type { Clock, Random, Result } from '@baobabwell/utils';

import { TableErrorKind, TableService } from '@baobabwell/platform';
import { createError, createOk } from '@baobabwell/utils';

import { NO_PLATFORM_FAULTS } from './BaobabwellStandInsFaults';

/** Numbers of operations since the start. */
export type TableCounts = {
  readonly reads: number;
  readonly writes: number;
};

/** Contents of a table service at one point in time. */
export type TableBackup = {
  readonly version: number;
  readonly writes: readonly StoredRow[];
};

type StoredRow = {
  readonly row: Row;
  readonly table: string;
};

/** An in-memory table service with fault injection. */
export class StandInTableService extends TableService {
  readonly #clock: Clock;

  readonly #random: Random;

  readonly #tables = new Map<string, Map<string, Row>>();

  /** Every write of each table, oldest first; reads skip overwritten rows. */
  readonly #history = new Map<string, StoredRow[]>();

  #version = 0;

  #faults: PlatformFaults = NO_PLATFORM_FAULTS;

  #reads = 0;

  #writes = 0;

  constructor(clock: Clock, random: Random) {
    super();
    this.#clock = clock;
    this.#random = random;
  }

  /** Replaces the injected faults. */
  applyFaults(faults: PlatformFaults): void {
    this.#faults = faults;
  }

  /** Creates a backup of all tables. */
  createBackup(): TableBackup {
    const writes = [...this.#history.values()].flat();
    return {
      version: this.#version,
      writes: writes.toSorted((a, b) => a.row.version - b.row.version),
    };
  }

  /** Restores all tables from a backup; later writes are lost. */
  restore({ version, writes }: TableBackup): void {
    this.#tables.clear();
    this.#history.clear();
    writes.forEach(({ table, row }) => this.#put(table, row));
    this.#version = version;
  }

  /** Lists the rows of a table written after a version, regardless of injected faults. */
  listRows(table: string, version: number): readonly Row[] {
    return this.#listSince(table, version);
  }

  /** Returns the numbers of operations since the start. */
  getCounts(): TableCounts {
    return { reads: this.#reads, writes: this.#writes };
  }

  override async commit(transaction: Transaction): Promise<Result<number, TableError>> {
    this.#writes += 1;
    const failure = await this.#simulateFaults(false);
    if (failure !== null) {
      return createError(failure);
    }
    const conflicts = transaction.conditions.filter(
      (condition) => !this.#isConditionMet(condition),
    );
    if (conflicts.length > 0) {
      return createError({ kind: TableErrorKind.Conflict, conflicts });
    }
    this.#version += 1;
    transaction.writes.forEach(({ table, key, value }) => {
      this.#put(table, { key, value, version: this.#version });
    });
    if (this.#random.getFraction() < this.#faults.loseAnswers) {
      return createError({
        kind: TableErrorKind.Unavailable,
        mayHaveCommitted: true,
        cause: 'answer lost',
      });
    }
    return createOk(this.#version);
  }

  override async read(table: string, key: string): Promise<Result<Row | null, TableError>> {
    this.#reads += 1;
    const failure = await this.#simulateFaults(false);
    if (failure !== null) {
      return createError(failure);
    }
    const row = this.#tables.get(table)?.get(key);
    return createOk(row === undefined || row.value === null ? null : row);
  }

  override async readSince(
    table: string,
    version: number,
    limit: number,
  ): Promise<Result<RowPage, TableError>> {
    this.#reads += 1;
    const failure = await this.#simulateFaults(false);
    if (failure !== null) {
      return createError(failure);
    }
    const rows = this.#listSince(table, version).slice(0, limit);
    return createOk({ rows, serviceVersion: this.#version });
  }

  async #simulateFaults(mayHaveCommitted: boolean): Promise<TableError | null> {
    if (this.#faults.slowMs > 0) {
      await this.#clock.wait(this.#faults.slowMs);
    }
    return this.#faults.down
      ? { kind: TableErrorKind.Unavailable, mayHaveCommitted, cause: 'service down' }
      : null;
  }

  #isConditionMet({ table, key, version }: RowCondition): boolean {
    const row = this.#tables.get(table)?.get(key);
    const current = row === undefined || row.value === null ? 0 : row.version;
    return current === version;
  }

  #put(table: string, row: Row): void {
    const rows = this.#tables.get(table) ?? new Map<string, Row>();
    rows.set(row.key, row);
    this.#tables.set(table, rows);
    const history = this.#history.get(table) ?? [];
    history.push({ row, table });
    this.#history.set(table, history);
  }

  #listSince(table: string, version: number): Row[] {
    const history = this.#history.get(table) ?? [];
    const rows = this.#tables.get(table);
    let first = history.length;
    while (first > 0 && (history[first - 1] as StoredRow).row.version > version) {
      first -= 1;
    }
    return history
      .slice(first)
      .map(({ row }) => row)
      .filter((row) => rows?.get(row.key) === row);
  }
}
