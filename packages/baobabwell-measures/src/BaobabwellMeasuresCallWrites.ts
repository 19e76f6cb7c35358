import type { Row, RowPage, TableError, Transaction } from '@baobabwell/platform';
import type { Result } from '@baobabwell/utils';

import { CLAIM_TABLE } from '@baobabwell/idempotency';
import { TableService } from '@baobabwell/platform';

/** Numbers of transactions of all entries. */
export type TransactionCount = {
  all: number;
  /** Transactions that write claims or outcomes. */
  claims: number;
};

/** Counts the transactions of the table service. */
export class CountingTables extends TableService {
  readonly #tables: TableService;

  readonly #count: TransactionCount;

  constructor(tables: TableService, count: TransactionCount) {
    super();
    this.#tables = tables;
    this.#count = count;
  }

  override async commit(transaction: Transaction): Promise<Result<number, TableError>> {
    const isClaim = transaction.writes.some(({ table }) => table === CLAIM_TABLE);
    this.#count.all += 1;
    this.#count.claims += isClaim ? 1 : 0;
    return this.#tables.commit(transaction);
  }

  override async read(table: string, key: string): Promise<Result<Row | null, TableError>> {
    return this.#tables.read(table, key);
  }

  override async readSince(
    table: string,
    version: number,
    limit: number,
  ): Promise<Result<RowPage, TableError>> {
    return this.#tables.readSince(table, version, limit);
  }
}
