import type { AnswerStore } from './BaobabwellIdempotencyAnswers';
import type { Claim } from './BaobabwellIdempotencyRows';
import type { Row, TableService } from '@baobabwell/platform';
import type { Clock } from '@baobabwell/utils';

import {
  CLAIM_TABLE,
  FULL_SWEEP_INTERVAL_MS,
  MAX_TRANSACTION_WRITES,
  SWEEP_INTERVAL_MS,
  SWEEP_PAGE_ROWS,
} from './BaobabwellIdempotencyConstants';
import { ClaimState, parseClaim } from './BaobabwellIdempotencyRows';

type ExpiredRow = { readonly row: Row; readonly claim: Claim };

/** Dependencies of {@link ClaimSweeper}. */
export type SweeperDependencies = {
  readonly clock: Clock;
  readonly tables: TableService;
  readonly answers: AnswerStore;
  /** Returns whether this entry is the one that removes rows; only one does at a time. */
  readonly isResponsible: () => boolean;
};

/**
 * Removes expired outcomes. Rows are read in the order in which they were written, so each step
 * reads one page from the end of the previous one and stops at the first outcome to retain.
 */
export class ClaimSweeper {
  readonly #dependencies: SweeperDependencies;

  readonly #stopped = new AbortController();

  #position = 0;

  #sweepStartedAt = Number.NEGATIVE_INFINITY;

  constructor(dependencies: SweeperDependencies) {
    this.#dependencies = dependencies;
  }

  /** Removes expired rows periodically until {@link stop} is called. */
  async run(): Promise<void> {
    const { clock, isResponsible } = this.#dependencies;
    while (!this.#stopped.signal.aborted) {
      await clock.wait(SWEEP_INTERVAL_MS, this.#stopped.signal);
      if (!this.#stopped.signal.aborted && isResponsible()) {
        await this.#runStep();
      }
    }
  }

  /** Stops {@link run}. */
  stop(): void {
    this.#stopped.abort();
  }

  async #runStep(): Promise<void> {
    const { clock, tables, answers } = this.#dependencies;
    if (clock.getNow() - this.#sweepStartedAt >= FULL_SWEEP_INTERVAL_MS) {
      this.#sweepStartedAt = clock.getNow();
      this.#position = 0;
    }
    const page = await tables.readSince(CLAIM_TABLE, this.#position, SWEEP_PAGE_ROWS);
    if (!page.ok) {
      return;
    }
    const { expired, position } = this.#findExpired(page.value.rows);
    const isRemoved = expired.length === 0 || (await this.#remove(expired));
    if (isRemoved) {
      this.#position = position;
      await Promise.all(expired.map(async ({ claim }) => answers.remove(claim.result)));
    }
  }

  #findExpired(rows: readonly Row[]): {
    readonly expired: readonly ExpiredRow[];
    readonly position: number;
  } {
    const now = this.#dependencies.clock.getWallTime();
    const expired: ExpiredRow[] = [];
    let position = this.#position;
    for (const row of rows) {
      if (expired.length >= MAX_TRANSACTION_WRITES) {
        return { expired, position: Math.min(position, row.version - 1) };
      }
      const claim = parseClaim(row)?.claim ?? null;
      if (claim !== null && claim.expiresAt <= now) {
        expired.push({ row, claim });
      } else if (claim?.state === ClaimState.Ended) {
        // Rows of one transaction share a version, so the next page must include it again.
        return { expired, position: Math.min(position, row.version - 1) };
      }
      position = row.version;
    }
    // Further rows of the last transaction of a full page may follow in the next page.
    const isFull = rows.length === SWEEP_PAGE_ROWS;
    return { expired, position: isFull ? Math.max(this.#position, position - 1) : position };
  }

  async #remove(expired: readonly ExpiredRow[]): Promise<boolean> {
    const removed = await this.#dependencies.tables.commit({
      conditions: expired.map(({ row: { key, version } }) => ({
        table: CLAIM_TABLE,
        key,
        version,
      })),
      writes: expired.map(({ row: { key } }) => ({ table: CLAIM_TABLE, key, value: null })),
    });
    return removed.ok;
  }
}
