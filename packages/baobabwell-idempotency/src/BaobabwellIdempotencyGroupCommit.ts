import type { Claim, VersionedClaim } from './BaobabwellIdempotencyRows';
import type { RowCondition, TableService } from '@baobabwell/platform';
import type { Clock } from '@baobabwell/utils';

import { TableErrorKind } from '@baobabwell/platform';

import {
  CLAIM_TABLE,
  GATHER_MS,
  GROUP_WRITES,
  IDLE_MS,
  SETTLE_RETRY_MS,
} from './BaobabwellIdempotencyConstants';
import { formatClaim, parseClaim } from './BaobabwellIdempotencyRows';

/** A write of one row, on the condition that it stands at a version. */
export type ClaimWrite = {
  readonly rowKey: string;
  /** `null` removes the row. */
  readonly claim: Claim | null;
  /** Zero when the row must be absent. */
  readonly expectedVersion: number;
};

/** What is known of a write once it is settled. */
export type WriteResult =
  | { readonly kind: 'committed'; readonly version: number }
  /** The row stood at another version. */
  | { readonly kind: 'conflict'; readonly current: VersionedClaim | null }
  /** The write did not take effect. */
  | { readonly kind: 'unavailable' };

/** What is known of a write after the time that its caller waits. */
export type BoundedWriteResult =
  WriteResult | { readonly kind: 'unclear'; readonly settled: Promise<WriteResult> };

type Pending = {
  readonly write: ClaimWrite;
  readonly settle: (result: WriteResult) => void;
  wasSent: boolean;
  isAbandoned: boolean;
};

/** What a group commit works with. */
export type GroupCommitParts = {
  readonly clock: Clock;
  readonly tables: TableService;
  /** Time between two transactions, in milliseconds. */
  readonly getSpacing: () => number;
};

function isOwn({ write }: Pending, current: VersionedClaim | null): boolean {
  return write.claim === null ? current === null : current?.claim.writeId === write.claim.writeId;
}

/**
 * Commits many writes in few transactions. A transaction without an answer is settled by reading
 * before anything else is sent, so that at most one transaction is ever in doubt.
 */
export class GroupCommit {
  readonly #parts: GroupCommitParts;

  readonly #stopped = new AbortController();

  #wake = new AbortController();

  #queue: Pending[] = [];

  #nextAt = Number.NEGATIVE_INFINITY;

  constructor(parts: GroupCommitParts) {
    this.#parts = parts;
  }

  /** Writes a row; resolves after `timeoutMs` at the latest. */
  async write(write: ClaimWrite, timeoutMs: number): Promise<BoundedWriteResult> {
    return new Promise((resolve) => {
      let settle = (_result: WriteResult): void => {};
      const settled = new Promise<WriteResult>((resolveSettled) => {
        settle = resolveSettled;
      });
      const pending: Pending = { write, settle, wasSent: false, isAbandoned: false };
      const cancelTimer = this.#parts.clock.startTimer(timeoutMs, () => {
        pending.isAbandoned = true;
        if (!pending.wasSent) {
          this.#queue = this.#queue.filter((other) => other !== pending);
          settle({ kind: 'unavailable' });
        }
        resolve(pending.wasSent ? { kind: 'unclear', settled } : { kind: 'unavailable' });
      });
      void settled.then((result) => {
        cancelTimer();
        resolve(result);
      });
      this.#queue.push(pending);
      this.#wake.abort();
    });
  }

  /** Sends transactions until stopped, and at the end once more for what still waits. */
  async run(): Promise<void> {
    const { clock, getSpacing } = this.#parts;
    while (!this.#stopped.signal.aborted) {
      if (this.#queue.length === 0) {
        await clock.wait(IDLE_MS, this.#wake.signal);
      }
      this.#wake = new AbortController();
      if (this.#queue.length > 0) {
        const waitMs = Math.max(GATHER_MS, this.#nextAt - clock.getNow());
        await clock.wait(waitMs, this.#stopped.signal);
        this.#nextAt = clock.getNow() + getSpacing();
        await this.#commitGroup(this.#takeGroup());
      }
    }
    await this.#commitGroup(this.#takeGroup());
  }

  /** Ends {@link run}. */
  stop(): void {
    this.#stopped.abort();
    this.#wake.abort();
  }

  /** Takes the oldest writes; a second write of one row waits for the next transaction. */
  #takeGroup(): readonly Pending[] {
    const rowKeys = new Set<string>();
    const group: Pending[] = [];
    const rest: Pending[] = [];
    this.#queue.forEach((pending) => {
      const { rowKey } = pending.write;
      const isFit = group.length < GROUP_WRITES && !rowKeys.has(rowKey);
      (isFit ? group : rest).push(pending);
      rowKeys.add(rowKey);
    });
    this.#queue = rest;
    return group;
  }

  async #commitGroup(group: readonly Pending[]): Promise<void> {
    if (group.length === 0) {
      return;
    }
    group.forEach((pending) => Object.assign(pending, { wasSent: true }));
    const committed = await this.#parts.tables.commit({
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
      group.forEach(({ settle }) => settle({ kind: 'committed', version }));
    } else if (committed.error.kind === TableErrorKind.Conflict) {
      await this.#settleConflicts(group, committed.error.conflicts);
    } else if (committed.error.mayHaveCommitted) {
      await this.#settleUnanswered(group);
    } else {
      group.forEach(({ settle }) => settle({ kind: 'unavailable' }));
    }
  }

  /** A row that stands at another version may be an earlier copy of the same write. */
  async #settleConflicts(
    group: readonly Pending[],
    conflicts: readonly RowCondition[],
  ): Promise<void> {
    const conflicting = new Set(conflicts.map(({ key }) => key));
    const others = group.filter(({ write }) => !conflicting.has(write.rowKey));
    this.#addAgain(others);
    await Promise.all(
      group
        .filter(({ write }) => conflicting.has(write.rowKey))
        .map(async (pending) => this.#settleConflict(pending)),
    );
  }

  async #settleConflict(pending: Pending): Promise<void> {
    const current = await this.#read(pending);
    if (current === undefined) {
      pending.settle({ kind: 'unavailable' });
    } else if (isOwn(pending, current)) {
      pending.settle({ kind: 'committed', version: current?.version ?? 0 });
    } else {
      pending.settle({ kind: 'conflict', current });
    }
  }

  /** All writes of a transaction take effect or none: one row tells of all. */
  async #settleUnanswered(group: readonly Pending[]): Promise<void> {
    const [first] = group as readonly [Pending, ...Pending[]];
    let current: VersionedClaim | null | undefined;
    while (current === undefined && !this.#stopped.signal.aborted) {
      await this.#parts.clock.wait(SETTLE_RETRY_MS, this.#stopped.signal);
      current = await this.#read(first);
    }
    if (current !== undefined && isOwn(first, current)) {
      const version = current?.version ?? 0;
      group.forEach(({ settle }) => settle({ kind: 'committed', version }));
      return;
    }
    // Sending again is safe: a late first copy and the second exclude each other by the version.
    this.#addAgain(group.filter(({ isAbandoned }) => !isAbandoned));
    group
      .filter(({ isAbandoned }) => isAbandoned)
      .forEach(({ settle }) => settle({ kind: 'unavailable' }));
  }

  #addAgain(group: readonly Pending[]): void {
    this.#queue = [...group, ...this.#queue];
  }

  /** Reads the row of a write; `undefined` when it cannot be read. */
  async #read({ write }: Pending): Promise<VersionedClaim | null | undefined> {
    const row = await this.#parts.tables.read(CLAIM_TABLE, write.rowKey);
    return row.ok ? parseClaim(row.value) : undefined;
  }
}
