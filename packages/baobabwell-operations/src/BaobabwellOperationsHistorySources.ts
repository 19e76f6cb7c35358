import type { QueryRefusal, QueryRequest, QueryRow } from './BaobabwellOperations';
import type { ChangeJournal } from './BaobabwellOperationsJournal';
import type { CommandRecords } from './BaobabwellOperationsRecords';
import type { ViewChange } from '@baobabwell/model';
import type { Result } from '@baobabwell/utils';
import type { ChangeProgress, TransactionOutcome } from '@baobabwell/view';

import { createError, createOk } from '@baobabwell/utils';

import { QuerySource } from './BaobabwellOperations';
import { formatTouchedEntities } from './BaobabwellOperationsExplain';

/** Finds the outcome of a transaction; fails while the table service cannot determine it. */
export type FindTransaction = (id: string) => Promise<Result<TransactionOutcome, string>>;

/** Returns the distribution progress of the change with a version. */
export type GetChangeProgress = (version: number) => ChangeProgress;

function buildChangeRow(change: ViewChange, { stage, missing }: ChangeProgress): QueryRow {
  return {
    version: change.version,
    at: new Date(change.at).toISOString(),
    author: change.author,
    command: change.command,
    reason: change.reason,
    touched: formatTouchedEntities(change.mutations),
    transaction: change.transactionId,
    stage,
    missing: missing.join(','),
  };
}

/** Lists the changes of the fleet after a version. */
export class ChangesSource extends QuerySource {
  override readonly name = 'changes';

  override readonly columns = [
    'version',
    'at',
    'author',
    'command',
    'reason',
    'touched',
    'transaction',
    'stage',
    'missing',
  ];

  readonly #journal: ChangeJournal;

  readonly #getProgress: GetChangeProgress;

  constructor(journal: ChangeJournal, getProgress: GetChangeProgress) {
    super();
    this.#journal = journal;
    this.#getProgress = getProgress;
  }

  override async listRows({
    since,
  }: QueryRequest): Promise<Result<readonly QueryRow[], QueryRefusal>> {
    const oldest = this.#journal.getOldestVersion();
    if (since !== null && oldest !== null && since + 1 < oldest) {
      const message = `changes before version ${oldest} are no longer in the journal of this process`;
      return createError({ code: 'not-found', message });
    }
    return createOk(
      this.#journal
        .listSince(since ?? 0)
        .map((change) => buildChangeRow(change, this.#getProgress(change.version))),
    );
  }
}

/** Lists the commands of operators and entries, including those that were refused. */
export class CommandsSource extends QuerySource {
  override readonly name = 'commands';

  override readonly columns = ['at', 'author', 'command', 'reason', 'result', 'detail'];

  readonly #journal: ChangeJournal;

  readonly #records: CommandRecords;

  constructor(journal: ChangeJournal, records: CommandRecords) {
    super();
    this.#journal = journal;
    this.#records = records;
  }

  override async listRows(): Promise<Result<readonly QueryRow[], QueryRefusal>> {
    const records = await this.#records.list();
    if (!records.ok) {
      return createError({ code: 'unavailable', message: records.error });
    }
    const changes = this.#journal.listSince(0);
    const committed = new Set(changes.map(({ transactionId }) => transactionId));
    const accepted = changes.map(({ at, author, command, reason, version }) => ({
      at,
      author,
      command,
      reason,
      result: 'changed',
      detail: `version ${version}`,
    }));
    const others = records.value
      .filter(({ id }) => !committed.has(id))
      .map(({ operator, ...record }) => ({ ...record, author: operator }));
    const rows = [...accepted, ...others].toSorted((a, b) => a.at - b.at);
    return createOk(rows.map((row) => ({ ...row, at: new Date(row.at).toISOString() })));
  }
}

/** Finds the outcome of one transaction. */
export class TransactionSource extends QuerySource {
  override readonly name = 'transaction';

  override readonly columns = ['transaction', 'result', 'version', 'command', 'author'];

  override readonly argumentName = 'transaction identifier';

  readonly #journal: ChangeJournal;

  readonly #find: FindTransaction;

  constructor(journal: ChangeJournal, find: FindTransaction) {
    super();
    this.#journal = journal;
    this.#find = find;
  }

  override async listRows({
    argument,
  }: QueryRequest): Promise<Result<readonly QueryRow[], QueryRefusal>> {
    const id = argument ?? '';
    const change = this.#journal.listSince(0).find(({ transactionId }) => transactionId === id);
    if (change !== undefined) {
      const { version, command, author } = change;
      return createOk([{ transaction: id, result: 'committed', version, command, author }]);
    }
    const outcome = await this.#find(id);
    if (!outcome.ok) {
      return createError({
        code: 'unavailable',
        message: `the outcome is not known yet: ${outcome.error}`,
      });
    }
    const version = outcome.value.kind === 'committed' ? outcome.value.version : null;
    return createOk([{ transaction: id, result: outcome.value.kind, version }]);
  }
}
