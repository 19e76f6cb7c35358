import type { VersionedWork, Work } from './BaobabwellDeferred';
import type { WorkIndex } from './BaobabwellDeferredIndex';
import type { TableService } from '@baobabwell/platform';
import type { Clock } from '@baobabwell/utils';

import { TableErrorKind } from '@baobabwell/platform';

import {
  ACCEPT_ATTEMPTS,
  ACCEPT_GATHER_MS,
  ACCEPT_GROUP,
  STORE_RETRY_MS,
  WORK_TABLE,
} from './BaobabwellDeferredConstants';
import { formatWork, parseWork } from './BaobabwellDeferredRows';

/** What became of an acceptance. */
export type Acceptance =
  | { readonly kind: 'accepted'; readonly work: Work }
  /** Work with the same identifier was accepted before. */
  | { readonly kind: 'existing'; readonly work: Work }
  /** The work is not stored and will not be. */
  | { readonly kind: 'unavailable' }
  /** The work may be stored; looking it up tells later. */
  | { readonly kind: 'unknown' };

type Pending = {
  readonly work: Work;
  readonly settle: (acceptance: Acceptance) => void;
};

/** What the acceptor works with. */
export type AcceptorParts = {
  readonly clock: Clock;
  readonly tables: TableService;
  readonly index: WorkIndex;
};

/** Stores new work, many pieces in one transaction. */
export class WorkAcceptor {
  readonly #parts: AcceptorParts;

  #queue: Pending[] = [];

  #isGathering = false;

  constructor(parts: AcceptorParts) {
    this.#parts = parts;
  }

  /** Stores a piece of work under its identifier, once. */
  async add(work: Work): Promise<Acceptance> {
    return new Promise((resolve) => {
      this.#queue.push({ work, settle: resolve });
      if (!this.#isGathering) {
        this.#isGathering = true;
        this.#parts.clock.startTimer(ACCEPT_GATHER_MS, () => {
          void this.#commitQueue();
        });
      }
    });
  }

  async #commitQueue(): Promise<void> {
    while (this.#queue.length > 0) {
      const group = this.#queue.slice(0, ACCEPT_GROUP);
      this.#queue = this.#queue.slice(ACCEPT_GROUP);
      await this.#commitGroup(group);
    }
    this.#isGathering = false;
  }

  /**
   * Sends a group until its fate is known. Sending again is safe: each row must be absent, so a
   * late first copy and a second one exclude each other.
   */
  async #commitGroup(group: readonly Pending[]): Promise<void> {
    const { clock, tables, index } = this.#parts;
    let remaining = group;
    let mayBeStored = false;
    for (let attempt = 0; attempt < ACCEPT_ATTEMPTS && remaining.length > 0; attempt += 1) {
      const committed = await tables.commit({
        conditions: remaining.map(({ work }) => ({ table: WORK_TABLE, key: work.id, version: 0 })),
        writes: remaining.map(({ work }) => ({
          table: WORK_TABLE,
          key: work.id,
          value: formatWork(work),
        })),
      });
      if (committed.ok) {
        remaining.forEach(({ work, settle }) => {
          index.record(work, committed.value);
          settle({ kind: 'accepted', work });
        });
        return;
      }
      if (committed.error.kind === TableErrorKind.Conflict) {
        const taken = new Set(committed.error.conflicts.map(({ key }) => key));
        remaining = await this.#settleExisting(remaining, taken);
      } else {
        mayBeStored ||= committed.error.mayHaveCommitted;
        await clock.wait(STORE_RETRY_MS);
      }
    }
    const kind = mayBeStored ? 'unknown' : 'unavailable';
    remaining.forEach(({ settle }) => settle({ kind }));
  }

  /** Tells those whose row stands already, and returns the others. */
  async #settleExisting(
    group: readonly Pending[],
    taken: ReadonlySet<string>,
  ): Promise<readonly Pending[]> {
    const others: Pending[] = [];
    for (const pending of group) {
      const existing = taken.has(pending.work.id) ? await this.#read(pending.work.id) : null;
      if (existing === null) {
        others.push(pending);
      } else {
        const isOwn = existing.work.acceptedAt === pending.work.acceptedAt;
        pending.settle({ kind: isOwn ? 'accepted' : 'existing', work: existing.work });
      }
    }
    return others;
  }

  async #read(id: string): Promise<VersionedWork | null> {
    const row = await this.#parts.tables.read(WORK_TABLE, id);
    const work = row.ok && row.value !== null ? parseWork(row.value.value) : null;
    return work === null || !row.ok || row.value === null
      ? null
      : { work, version: row.value.version };
  }
}
