import type { VersionedWork, Work } from './BaobabwellDeferred';
import type { WorkIndex } from './BaobabwellDeferredIndex';
import type { TableService } from '@baobabwell/platform';
import type { Clock } from '@baobabwell/utils';

import { TableErrorKind } from '@baobabwell/platform';

import {
  ACCEPT_BATCH_WINDOW_MS,
  MAX_ACCEPT_ATTEMPTS,
  MAX_ACCEPT_BATCH_ITEMS,
  STORE_RETRY_INTERVAL_MS,
  WORK_TABLE,
} from './BaobabwellDeferredConstants';
import { formatWork, parseWork } from './BaobabwellDeferredRows';

/** Result of an acceptance. */
export type Acceptance =
  | { readonly kind: 'accepted'; readonly work: Work }
  /** Work with the same identifier was accepted before. */
  | { readonly kind: 'existing'; readonly work: Work }
  /** The work is not stored and never will be. */
  | { readonly kind: 'unavailable' }
  /** The outcome is unknown; a later lookup shows whether the work is stored. */
  | { readonly kind: 'unknown' };

type PendingAcceptance = {
  readonly work: Work;
  readonly complete: (acceptance: Acceptance) => void;
};

/** Dependencies of {@link WorkAcceptor}. */
export type WorkAcceptorDependencies = {
  readonly clock: Clock;
  readonly tables: TableService;
  readonly index: WorkIndex;
};

/** Stores new work items in batches, one transaction per batch. */
export class WorkAcceptor {
  readonly #dependencies: WorkAcceptorDependencies;

  #pending: PendingAcceptance[] = [];

  #isBatching = false;

  constructor(dependencies: WorkAcceptorDependencies) {
    this.#dependencies = dependencies;
  }

  /** Stores a work item unless its identifier exists already. */
  async add(work: Work): Promise<Acceptance> {
    return new Promise((resolve) => {
      this.#pending.push({ work, complete: resolve });
      if (!this.#isBatching) {
        this.#isBatching = true;
        this.#dependencies.clock.startTimer(ACCEPT_BATCH_WINDOW_MS, () => {
          void this.#commitPending();
        });
      }
    });
  }

  async #commitPending(): Promise<void> {
    while (this.#pending.length > 0) {
      const batch = this.#pending.slice(0, MAX_ACCEPT_BATCH_ITEMS);
      this.#pending = this.#pending.slice(MAX_ACCEPT_BATCH_ITEMS);
      await this.#commitBatch(batch);
    }
    this.#isBatching = false;
  }

  /**
   * Commits a batch and retries until every outcome is known or all attempts are used. A retry
   * is safe: each row must be absent, so a delayed first request and its retry cannot both commit.
   */
  async #commitBatch(batch: readonly PendingAcceptance[]): Promise<void> {
    const { clock, tables, index } = this.#dependencies;
    let remaining = batch;
    let mayBeStored = false;
    for (let attempt = 0; attempt < MAX_ACCEPT_ATTEMPTS && remaining.length > 0; attempt += 1) {
      const committed = await tables.commit({
        conditions: remaining.map(({ work }) => ({ table: WORK_TABLE, key: work.id, version: 0 })),
        writes: remaining.map(({ work }) => ({
          table: WORK_TABLE,
          key: work.id,
          value: formatWork(work),
        })),
      });
      if (committed.ok) {
        remaining.forEach(({ work, complete }) => {
          index.record(work, committed.value);
          complete({ kind: 'accepted', work });
        });
        return;
      }
      if (committed.error.kind === TableErrorKind.Conflict) {
        const conflicting = new Set(committed.error.conflicts.map(({ key }) => key));
        remaining = await this.#completeExisting(remaining, conflicting);
      } else {
        mayBeStored ||= committed.error.mayHaveCommitted;
        await clock.wait(STORE_RETRY_INTERVAL_MS);
      }
    }
    const kind = mayBeStored ? 'unknown' : 'unavailable';
    remaining.forEach(({ complete }) => complete({ kind }));
  }

  /** Completes the acceptances whose rows exist already, and returns the others. */
  async #completeExisting(
    batch: readonly PendingAcceptance[],
    conflicting: ReadonlySet<string>,
  ): Promise<readonly PendingAcceptance[]> {
    const others: PendingAcceptance[] = [];
    for (const pending of batch) {
      const existing = conflicting.has(pending.work.id)
        ? await this.#readWork(pending.work.id)
        : null;
      if (existing === null) {
        others.push(pending);
      } else {
        const isOwn = existing.work.acceptedAt === pending.work.acceptedAt;
        pending.complete({ kind: isOwn ? 'accepted' : 'existing', work: existing.work });
      }
    }
    return others;
  }

  async #readWork(id: string): Promise<VersionedWork | null> {
    const row = await this.#dependencies.tables.read(WORK_TABLE, id);
    const work = row.ok && row.value !== null ? parseWork(row.value.value) : null;
    return work === null || !row.ok || row.value === null
      ? null
      : { work, version: row.value.version };
  }
}
