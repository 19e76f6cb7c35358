import type { JsonValue, TableService } from '@baobabwell/platform';
import type { Clock, Result } from '@baobabwell/utils';

import { z } from 'zod';

import { createError, createOk } from '@baobabwell/utils';

/** A command that was refused, or whose result is not known. */
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

/** Keeps the commands that did not become changes; the log keeps the others. */
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

  /** Records a command; written in the background, several at a time. */
  add(record: CommandRecord): void {
    this.#pending = [...this.#pending, record].slice(-MAX_PENDING);
    if (!this.#isWriting) {
      this.#isWriting = true;
      void this.#writePending();
    }
  }

  /** Lists the records that are stored and those still to be written. */
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

  /** Ends the writing in the background. */
  stop(): void {
    this.#isStopped = true;
  }

  async #writePending(): Promise<void> {
    while (this.#pending.length > 0 && !this.#isStopped) {
      const batch = this.#pending;
      // Writing the same rows again changes nothing, so a lost answer needs no settling.
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
