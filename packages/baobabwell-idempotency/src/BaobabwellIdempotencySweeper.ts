import type { AnswerStore } from './BaobabwellIdempotencyAnswers';
import type { Claim } from './BaobabwellIdempotencyRows';
import type { Row, TableService } from '@baobabwell/platform';
import type { Clock } from '@baobabwell/utils';

import {
  CLAIM_TABLE,
  FULL_SWEEP_MS,
  GROUP_WRITES,
  SWEEP_INTERVAL_MS,
  SWEEP_ROWS,
} from './BaobabwellIdempotencyConstants';
import { ClaimState, parseClaim } from './BaobabwellIdempotencyRows';

type ExpiredRow = { readonly row: Row; readonly claim: Claim };

/** What the removal of old rows works with. */
export type SweeperParts = {
  readonly clock: Clock;
  readonly tables: TableService;
  readonly answers: AnswerStore;
  /** True at the one entry that removes rows. */
  readonly isResponsible: () => boolean;
};

/**
 * Removes the outcomes whose time is over. Rows come in the order in which they were written, so
 * one step reads a page from where the last one ended and stops at the first row that is kept.
 */
export class ClaimSweeper {
  readonly #parts: SweeperParts;

  readonly #stopped = new AbortController();

  #position = 0;

  #startedAt = Number.NEGATIVE_INFINITY;

  constructor(parts: SweeperParts) {
    this.#parts = parts;
  }

  /** Removes rows until stopped. */
  async run(): Promise<void> {
    const { clock, isResponsible } = this.#parts;
    while (!this.#stopped.signal.aborted) {
      await clock.wait(SWEEP_INTERVAL_MS, this.#stopped.signal);
      if (!this.#stopped.signal.aborted && isResponsible()) {
        await this.#runStep();
      }
    }
  }

  /** Ends {@link run}. */
  stop(): void {
    this.#stopped.abort();
  }

  async #runStep(): Promise<void> {
    const { clock, tables, answers } = this.#parts;
    if (clock.getNow() - this.#startedAt >= FULL_SWEEP_MS) {
      this.#startedAt = clock.getNow();
      this.#position = 0;
    }
    const page = await tables.readSince(CLAIM_TABLE, this.#position, SWEEP_ROWS);
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
    const now = this.#parts.clock.getWallTime();
    const expired: ExpiredRow[] = [];
    let position = this.#position;
    for (const row of rows) {
      if (expired.length >= GROUP_WRITES) {
        return { expired, position: Math.min(position, row.version - 1) };
      }
      const claim = parseClaim(row)?.claim ?? null;
      if (claim !== null && claim.expiresAt <= now) {
        expired.push({ row, claim });
      } else if (claim?.state === ClaimState.Ended) {
        // Rows of one transaction share a version: the next page must bring this one again.
        return { expired, position: Math.min(position, row.version - 1) };
      }
      position = row.version;
    }
    // The last transaction of a full page may go on in the next one.
    const isFull = rows.length === SWEEP_ROWS;
    return { expired, position: isFull ? Math.max(this.#position, position - 1) : position };
  }

  async #remove(expired: readonly ExpiredRow[]): Promise<boolean> {
    const removed = await this.#parts.tables.commit({
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
