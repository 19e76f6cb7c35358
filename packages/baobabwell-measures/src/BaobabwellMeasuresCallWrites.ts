import type { Row, RowPage, TableError, Transaction } from '@baobabwell/platform';
import type { Result } from '@baobabwell/utils';

import { CLAIM_TABLE } from '@baobabwell/idempotency';
import { TableService } from '@baobabwell/platform';

/** Transactions that write claims or outcomes, at all entries. */
export type ClaimCount = { transactions: number };

/** Counts the transactions that write claims or outcomes. */
export class CountingTables extends TableService {
  readonly #tables: TableService;

  readonly #count: ClaimCount;

  constructor(tables: TableService, count: ClaimCount) {
    super();
    this.#tables = tables;
    this.#count = count;
  }

  override async commit(transaction: Transaction): Promise<Result<number, TableError>> {
    const isClaim = transaction.writes.some(({ table }) => table === CLAIM_TABLE);
    this.#count.transactions += isClaim ? 1 : 0;
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
