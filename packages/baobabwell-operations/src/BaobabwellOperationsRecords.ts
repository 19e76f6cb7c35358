import type { JsonValue, TableService } from '@baobabwell/platform';
import type { Clock, Result } from '@baobabwell/utils';

import { z } from 'zod';

import { createError, createOk } from '@baobabwell/utils';

/** A command that was refused or unavailable, or whose outcome is unknown. */
export type CommandRecord = {
  readonly id: string;
  readonly operator: string;
  readonly command: string;
  readonly reason: string;
  /** Wall-clock milliseconds. */
  readonly at: number;
  /** `refused`, `unavailable` or `unknown`. */
  readonly result: string;
  readonly detail: string;
};

const RECORD_TABLE = 'operator-commands';
const PAGE_ROWS = 500;
const RETRY_INTERVAL_MS = 5_000;
const MAX_PENDING = 256;

const recordSchema = z.object({
  id: z.string(),
  operator: z.string(),
  command: z.string(),
  reason: z.string(),
  at: z.number(),
  result: z.string(),
  detail: z.string(),
});

/** Stores commands that did not become a change of the view; the view log stores the others. */
export class CommandRecords {
  readonly #tables: TableService;

  readonly #clock: Clock;

  #pending: CommandRecord[] = [];

  #isWriting = false;

  #isStopped = false;

  constructor(tables: TableService, clock: Clock) {
    this.#tables = tables;
    this.#clock = clock;
  }

  /** Adds a record; records are written to the table in the background, in batches. */
  add(record: CommandRecord): void {
    this.#pending = [...this.#pending, record].slice(-MAX_PENDING);
    if (!this.#isWriting) {
      this.#isWriting = true;
      void this.#writePending();
    }
  }

  /** Lists the stored records and those that are not written yet. */
  async list(): Promise<Result<readonly CommandRecord[], string>> {
    const records: CommandRecord[] = [];
    let version = 0;
    for (;;) {
      const page = await this.#tables.readSince(RECORD_TABLE, version, PAGE_ROWS);
      if (!page.ok) {
        return createError('the table service could not be read');
      }
      records.push(...page.value.rows.map(({ value }) => recordSchema.parse(value)));
      version = page.value.rows.at(-1)?.version ?? version;
      if (page.value.rows.length < PAGE_ROWS) {
        const stored = new Set(records.map(({ id }) => id));
        return createOk([...records, ...this.#pending.filter(({ id }) => !stored.has(id))]);
      }
    }
  }

  /** Stops the background writes. */
  stop(): void {
    this.#isStopped = true;
  }

  async #writePending(): Promise<void> {
    while (this.#pending.length > 0 && !this.#isStopped) {
      const batch = this.#pending;
      // The write is idempotent, so it is retried without resolving an unknown outcome.
      const written = await this.#tables.commit({
        conditions: [],
        writes: batch.map((record) => ({
          table: RECORD_TABLE,
          key: record.id,
          value: record as unknown as JsonValue,
        })),
      });
      if (written.ok) {
        this.#pending = this.#pending.filter((record) => !batch.includes(record));
      } else {
        await this.#clock.wait(RETRY_INTERVAL_MS);
      }
    }
    this.#isWriting = false;
  }
}
