import type { DaemonMetrics } from '@baobabwell/metrics';
import type {
  CallLimits,
  ChangePage,
  Row,
  RowRange,
  TableError,
  Transaction,
  WatchableTableService,
  WatchError,
} from '@baobabwell/platform';
import type { Clock, Result } from '@baobabwell/utils';

import { ForwardingTableService, TableErrorKind, WatchErrorKind } from '@baobabwell/platform';

const SECOND_MS = 1_000;

const ANSWERED = 'answered';

/** Records the number, results and duration of this process's calls to the store. */
export class MeasuredStore extends ForwardingTableService {
  readonly #metrics: DaemonMetrics;

  readonly #clock: Clock;

  constructor(store: WatchableTableService, metrics: DaemonMetrics, clock: Clock) {
    super(store);
    this.#metrics = metrics;
    this.#clock = clock;
  }

  override async commit(
    transaction: Transaction,
    limits?: CallLimits,
  ): Promise<Result<number, TableError>> {
    return this.#measure('commit', async () => this.tables.commit(transaction, limits));
  }

  override async list(
    range: RowRange,
    limits?: CallLimits,
  ): Promise<Result<ChangePage, TableError>> {
    return this.#measure('list', async () => this.tables.list(range, limits));
  }

  override async readPages(
    range: RowRange,
    handle: (page: ChangePage) => Promise<void>,
  ): Promise<Result<number, TableError>> {
    return this.#measure('read-pages', async () => this.tables.readPages(range, handle));
  }

  override async read(
    table: string,
    key: string,
    limits?: CallLimits,
  ): Promise<Result<Row | null, TableError>> {
    return this.#measure('read', async () => this.tables.read(table, key, limits));
  }

  override async waitForChanges(
    table: string,
    version: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<ChangePage, WatchError>> {
    const reply = await this.tables.waitForChanges(table, version, waitMs, signal);
    const failure = reply.ok ? null : reply.error.kind;
    const isHistoryCompacted = failure === WatchErrorKind.HistoryCompacted;
    if (!signal.aborted) {
      const answer = failure ?? ANSWERED;
      this.#metrics.storeCalls.inc({
        call: 'watch',
        answer: isHistoryCompacted ? 'history-gone' : answer,
      });
    }
    return reply;
  }

  async #measure<Value>(
    call: string,
    send: () => Promise<Result<Value, TableError>>,
  ): Promise<Result<Value, TableError>> {
    const sentAtMs = this.#clock.getNow();
    const reply = await send();
    const tookMs = this.#clock.getNow() - sentAtMs;
    this.#metrics.storeCallSeconds.observe({ call }, tookMs / SECOND_MS);
    this.#metrics.storeCalls.inc({
      call,
      answer: reply.ok ? ANSWERED : formatFailure(reply.error),
    });
    return reply;
  }
}

function formatFailure(error: TableError): string {
  if (error.kind === TableErrorKind.Conflict) {
    return 'conflict';
  }
  return error.mayHaveCommitted ? 'unanswered' : 'refused';
}
