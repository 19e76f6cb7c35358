import type { Deadline, Result } from '@baobabwell/utils';

/** A value that JSON can represent. */
export type JsonValue =
  string | number | boolean | null | readonly JsonValue[] | { readonly [name: string]: JsonValue };

/** One row of the table service. */
export type Row = {
  readonly key: string;
  /** `null` for a removed row. */
  readonly value: JsonValue;
  /** Version of the transaction that wrote the row. */
  readonly version: number;
};

/** Requires a row to have a version; zero requires that the row does not exist. */
export type RowCondition = {
  readonly table: string;
  /** Partition of the table; empty if the service does not partition tables. */
  readonly part?: string;
  readonly key: string;
  readonly version: number;
};

/** Puts a row, or removes it if the value is `null`. */
export type RowWrite = {
  readonly table: string;
  /** Partition of the table; empty if the service does not partition tables. */
  readonly part?: string;
  readonly key: string;
  readonly value: JsonValue;
};

/** Writes that are committed atomically, and only if all conditions are met. */
export type Transaction = {
  readonly conditions: readonly RowCondition[];
  readonly writes: readonly RowWrite[];
};

/** Rows of one table, oldest write first. */
export type RowPage = {
  readonly rows: readonly Row[];
  /** Version of the last transaction of the whole service when the rows were read. */
  readonly serviceVersion: number;
};

/** Limits of a call to the table service. */
export type CallLimits = {
  /** End of the time for which the answer is of use. */
  readonly deadline?: Deadline;
  /** Aborts the call, which then counts as unanswered. */
  readonly signal?: AbortSignal;
};

/** Kinds of failure of the table service. */
export enum TableErrorKind {
  Conflict = 'conflict',
  Unavailable = 'unavailable',
}

/** Failure of an operation on the table service. */
export type TableError =
  | {
      readonly kind: TableErrorKind.Conflict;
      /** The rows whose conditions were not met. */
      readonly conflicts: readonly RowCondition[];
    }
  | {
      readonly kind: TableErrorKind.Unavailable;
      /** True if a write may have been committed although no answer arrived. */
      readonly mayHaveCommitted: boolean;
      readonly cause: string;
    };

/** The platform's transactional table service. Its promises never reject. */
export abstract class TableService {
  /** Commits a transaction and returns its version. */
  abstract commit(
    transaction: Transaction,
    limits?: CallLimits,
  ): Promise<Result<number, TableError>>;

  /** Reads one row; returns `null` if it does not exist. */
  abstract read(
    table: string,
    key: string,
    limits?: CallLimits,
  ): Promise<Result<Row | null, TableError>>;

  /**
   * Reads the rows of a table whose version is above `version`, oldest first. Removed rows
   * appear with the value `null`.
   */
  abstract readSince(
    table: string,
    version: number,
    limit: number,
  ): Promise<Result<RowPage, TableError>>;
}
