import type { Claim, VersionedClaim } from './BaobabwellIdempotencyRows';
import type { RowCondition, TableService } from '@baobabwell/platform';
import type { Clock } from '@baobabwell/utils';

import { TableErrorKind } from '@baobabwell/platform';

import {
  BATCHING_WINDOW_MS,
  CLAIM_TABLE,
  MAX_IDLE_WAIT_MS,
  MAX_TRANSACTION_WRITES,
  RESOLVE_RETRY_INTERVAL_MS,
} from './BaobabwellIdempotencyConstants';
import { formatClaim, parseClaim } from './BaobabwellIdempotencyRows';

/** Write of one row, on the condition that the row has the expected version. */
export type ClaimWrite = {
  readonly rowKey: string;
  /** `null` removes the row. */
  readonly claim: Claim | null;
  /** Zero when the row must not exist. */
  readonly expectedVersion: number;
};

/** Result of a resolved write. */
export type WriteResult =
  | { readonly kind: 'committed'; readonly version: number }
  /** The row had another version. */
  | { readonly kind: 'conflict'; readonly current: VersionedClaim | null }
  /** The write did not take effect. */
  | { readonly kind: 'unavailable' };

/** Result of a write when its timeout expires; a sent write may still be unresolved. */
export type BoundedWriteResult =
  WriteResult | { readonly kind: 'unknown'; readonly completion: Promise<WriteResult> };

type PendingWrite = {
  readonly write: ClaimWrite;
  readonly complete: (result: WriteResult) => void;
  isSent: boolean;
  isAbandoned: boolean;
};

/** Dependencies of {@link GroupCommit}. */
export type GroupCommitDependencies = {
  readonly clock: Clock;
  readonly tables: TableService;
  /** Returns the time between two transactions, in milliseconds. */
  readonly getTransactionIntervalMs: () => number;
};

function isOwnWrite({ write }: PendingWrite, current: VersionedClaim | null): boolean {
  return write.claim === null ? current === null : current?.claim.writeId === write.claim.writeId;
}

/**
 * Commits many writes in few transactions. A transaction without an answer is resolved by reading
 * before the next one is sent, so that at most one transaction has an unknown outcome.
 */
export class GroupCommit {
  readonly #dependencies: GroupCommitDependencies;

  readonly #stopped = new AbortController();

  #wakeSignal = new AbortController();

  #queue: PendingWrite[] = [];

  #nextTransactionAt = Number.NEGATIVE_INFINITY;

  constructor(dependencies: GroupCommitDependencies) {
    this.#dependencies = dependencies;
  }

  /** Writes a row; resolves after `timeoutMs` at the latest. */
  async write(write: ClaimWrite, timeoutMs: number): Promise<BoundedWriteResult> {
    return new Promise((resolve) => {
      let complete = (_result: WriteResult): void => {};
      const completion = new Promise<WriteResult>((resolveCompletion) => {
        complete = resolveCompletion;
      });
      const pending: PendingWrite = { write, complete, isSent: false, isAbandoned: false };
      const cancelTimer = this.#dependencies.clock.startTimer(timeoutMs, () => {
        pending.isAbandoned = true;
        if (!pending.isSent) {
          this.#queue = this.#queue.filter((other) => other !== pending);
          complete({ kind: 'unavailable' });
        }
        resolve(pending.isSent ? { kind: 'unknown', completion } : { kind: 'unavailable' });
      });
      void completion.then((result) => {
        cancelTimer();
        resolve(result);
      });
      this.#queue.push(pending);
      this.#wakeSignal.abort();
    });
  }

  /** Sends transactions until {@link stop} is called, then a last one for at most one batch. */
  async run(): Promise<void> {
    const { clock, getTransactionIntervalMs } = this.#dependencies;
    while (!this.#stopped.signal.aborted) {
      if (this.#queue.length === 0) {
        await clock.wait(MAX_IDLE_WAIT_MS, this.#wakeSignal.signal);
      }
      this.#wakeSignal = new AbortController();
      if (this.#queue.length > 0) {
        const waitMs = Math.max(BATCHING_WINDOW_MS, this.#nextTransactionAt - clock.getNow());
        await clock.wait(waitMs, this.#stopped.signal);
        this.#nextTransactionAt = clock.getNow() + getTransactionIntervalMs();
        await this.#commitGroup(this.#takeGroup());
      }
    }
    await this.#commitGroup(this.#takeGroup());
  }

  /** Stops {@link run}. */
  stop(): void {
    this.#stopped.abort();
    this.#wakeSignal.abort();
  }

  /**
   * Removes the oldest writes from the queue. A second write of the same row stays for a later
   * transaction.
   */
  #takeGroup(): readonly PendingWrite[] {
    const rowKeys = new Set<string>();
    const group: PendingWrite[] = [];
    const remaining: PendingWrite[] = [];
    this.#queue.forEach((pending) => {
      const { rowKey } = pending.write;
      const isIncluded = group.length < MAX_TRANSACTION_WRITES && !rowKeys.has(rowKey);
      (isIncluded ? group : remaining).push(pending);
      rowKeys.add(rowKey);
    });
    this.#queue = remaining;
    return group;
  }

  async #commitGroup(group: readonly PendingWrite[]): Promise<void> {
    if (group.length === 0) {
      return;
    }
    group.forEach((pending) => Object.assign(pending, { isSent: true }));
    const committed = await this.#dependencies.tables.commit({
      conditions: group.map(({ write: { rowKey, expectedVersion } }) => ({
        table: CLAIM_TABLE,
        key: rowKey,
        version: expectedVersion,
      })),
      writes: group.map(({ write: { rowKey, claim } }) => ({
        table: CLAIM_TABLE,
        key: rowKey,
        value: claim === null ? null : formatClaim(claim),
      })),
    });
    if (committed.ok) {
      const version = committed.value;
      group.forEach(({ complete }) => complete({ kind: 'committed', version }));
    } else if (committed.error.kind === TableErrorKind.Conflict) {
      await this.#resolveConflicts(group, committed.error.conflicts);
    } else if (committed.error.mayHaveCommitted) {
      await this.#resolveUnanswered(group);
    } else {
      group.forEach(({ complete }) => complete({ kind: 'unavailable' }));
    }
  }

  /** Resolves conflicting writes. A conflicting row may hold an earlier copy of the same write. */
  async #resolveConflicts(
    group: readonly PendingWrite[],
    conflicts: readonly RowCondition[],
  ): Promise<void> {
    const conflicting = new Set(conflicts.map(({ key }) => key));
    const unaffected = group.filter(({ write }) => !conflicting.has(write.rowKey));
    this.#requeue(unaffected);
    await Promise.all(
      group
        .filter(({ write }) => conflicting.has(write.rowKey))
        .map(async (pending) => this.#resolveConflict(pending)),
    );
  }

  async #resolveConflict(pending: PendingWrite): Promise<void> {
    const current = await this.#readRow(pending);
    if (current === undefined) {
      pending.complete({ kind: 'unavailable' });
    } else if (isOwnWrite(pending, current)) {
      pending.complete({ kind: 'committed', version: current?.version ?? 0 });
    } else {
      pending.complete({ kind: 'conflict', current });
    }
  }

  /**
   * Resolves an unanswered transaction by reading one of its rows, because either all its writes
   * take effect or none.
   */
  async #resolveUnanswered(group: readonly PendingWrite[]): Promise<void> {
    const [first] = group as readonly [PendingWrite, ...PendingWrite[]];
    let current: VersionedClaim | null | undefined;
    while (current === undefined && !this.#stopped.signal.aborted) {
      await this.#dependencies.clock.wait(RESOLVE_RETRY_INTERVAL_MS, this.#stopped.signal);
      current = await this.#readRow(first);
    }
    if (current !== undefined && isOwnWrite(first, current)) {
      const version = current?.version ?? 0;
      group.forEach(({ complete }) => complete({ kind: 'committed', version }));
      return;
    }
    // Resending is safe: the version condition admits only one of a late first copy and the second.
    this.#requeue(group.filter(({ isAbandoned }) => !isAbandoned));
    group
      .filter(({ isAbandoned }) => isAbandoned)
      .forEach(({ complete }) => complete({ kind: 'unavailable' }));
  }

  #requeue(group: readonly PendingWrite[]): void {
    this.#queue = [...group, ...this.#queue];
  }

  /** Reads the row of a write; returns `undefined` when it cannot be read. */
  async #readRow({ write }: PendingWrite): Promise<VersionedClaim | null | undefined> {
    const row = await this.#dependencies.tables.read(CLAIM_TABLE, write.rowKey);
    return row.ok ? parseClaim(row.value) : undefined;
  }
}
