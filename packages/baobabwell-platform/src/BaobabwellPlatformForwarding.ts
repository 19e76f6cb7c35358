import type { CallLimits, TableError, Transaction } from './BaobabwellPlatformTable';
import type { ChangePage, RowRange, WatchError } from './BaobabwellPlatformWatch';
import type { Result } from '@baobabwell/utils';

import { WatchableTableService } from './BaobabwellPlatformWatch';

/** Forwards every call to another table service; subclasses override some of the methods. */
export abstract class ForwardingTableService extends WatchableTableService {
  protected readonly tables: WatchableTableService;

  constructor(tables: WatchableTableService) {
    super();
    this.tables = tables;
  }

  override async commit(
    transaction: Transaction,
    limits?: CallLimits,
  ): Promise<Result<number, TableError>> {
    return this.tables.commit(transaction, limits);
  }

  override async list(
    range: RowRange,
    limits?: CallLimits,
  ): Promise<Result<ChangePage, TableError>> {
    return this.tables.list(range, limits);
  }

  override async readPages(
    range: RowRange,
    handle: (page: ChangePage) => Promise<void>,
  ): Promise<Result<number, TableError>> {
    return this.tables.readPages(range, handle);
  }

  override async waitForChanges(
    table: string,
    version: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<ChangePage, WatchError>> {
    return this.tables.waitForChanges(table, version, waitMs, signal);
  }
}
