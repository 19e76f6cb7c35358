import type { Logger } from '@baobabwell/logging';
import type { Term } from '@baobabwell/ownership';
import type { JsonValue, RowWrite, WatchableTableService } from '@baobabwell/platform';
import type { Clock } from '@baobabwell/utils';

import { z } from 'zod';

import { RetryDelay } from '@baobabwell/utils';

import {
  HANDOVER_INTERVAL_MS,
  HANDOVER_TABLE,
  MAX_HANDOVER_LENGTH,
  MAX_WATCH_RETRY_MS,
  WATCH_RETRY_MS,
} from './BaobabwellControllerConstants';

const STATE_KEY = 'state';

const stateRow = z.object({
  epoch: z.number().int(),
  /** Wall-clock time at which the row was written, in ms since 1970. */
  storedAtMs: z.number(),
  sections: z.record(z.string(), z.json()),
});

/** State that a component passes on to the next owner. Losing it costs accuracy, never correctness. */
export type HandoverSection = {
  readonly name: string;
  /** Returns the state to store; `null` when there is none. */
  readonly save: () => JsonValue | null;
  /**
   * Restores the state of a former owner; ignores what it cannot read.
   *
   * @param ageMs time since the state was stored, in ms.
   */
  readonly restore: (value: JsonValue, ageMs: number) => void;
};

/** Dependencies of `Handover`. */
export type HandoverOptions = {
  readonly store: WatchableTableService;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly term: Term;
  readonly signal: AbortSignal;
};

/** Stores what an owner learned, and restores it at the start of the next term. */
export class Handover {
  readonly #options: HandoverOptions;

  readonly #sections = new Map<string, HandoverSection>();

  /** The row of the former owner, which sections that register later are restored from. */
  #formerState: z.infer<typeof stateRow> | null = null;

  /** The former row has been read, so that it may be replaced. */
  #isLoaded = false;

  #storedText = '';

  #sentAtMs = -Infinity;

  constructor(options: HandoverOptions) {
    this.#options = options;
  }

  /** Registers a section; the returned function removes it. */
  register(section: HandoverSection): () => void {
    this.#sections.set(section.name, section);
    this.#restoreSection(section);
    return () => {
      this.#sections.delete(section.name);
    };
  }

  /** Reads the row of the former owner and restores the sections from it. */
  async load(): Promise<void> {
    const { store, clock, logger, signal } = this.#options;
    const retry = new RetryDelay(WATCH_RETRY_MS, MAX_WATCH_RETRY_MS);
    while (!signal.aborted && !this.#isLoaded) {
      const reply = await store.read(HANDOVER_TABLE, STATE_KEY);
      if (reply.ok) {
        this.#isLoaded = true;
        const parsed = stateRow.safeParse(reply.value?.value);
        this.#formerState = parsed.data ?? null;
        logger.recordInfo('handover-loaded', {
          epoch: parsed.data?.epoch ?? null,
          ageMs: parsed.success ? this.#getAgeMs(parsed.data.storedAtMs) : null,
          sections: Object.keys(parsed.data?.sections ?? {}).join(','),
        });
        this.#sections.forEach((section) => this.#restoreSection(section));
      } else {
        logger.recordWarning('handover-not-read', { reason: reply.error.kind });
        await clock.wait(retry.advance(), signal);
      }
    }
  }

  /**
   * Creates the write of the present state for a transaction of the owner, at most once in
   * `HANDOVER_INTERVAL_MS` and only if it changed. A write that fails is superseded by the next.
   */
  createWrites(): readonly RowWrite[] {
    const { clock, term } = this.#options;
    const nowMs = clock.getNow();
    if (!this.#isLoaded || nowMs - this.#sentAtMs < HANDOVER_INTERVAL_MS) {
      return [];
    }
    this.#sentAtMs = nowMs;
    const sections = this.#listSectionValues();
    const text = JSON.stringify(sections);
    if (text === this.#storedText) {
      return [];
    }
    this.#storedText = text;
    return [
      {
        table: HANDOVER_TABLE,
        key: STATE_KEY,
        value: { epoch: term.epoch, storedAtMs: clock.getWallTime(), sections },
      },
    ];
  }

  /** Has the state stored again although it did not change: the last write may have failed. */
  requestStore(): void {
    this.#storedText = '';
  }

  /** Lists the values of all sections that fit into the row, in the order of their registration. */
  #listSectionValues(): Readonly<Record<string, JsonValue>> {
    const values: Record<string, JsonValue> = {};
    let length = 0;
    this.#sections.forEach(({ name, save }) => {
      const value = save();
      const size = value === null ? 0 : JSON.stringify(value).length;
      if (value !== null && length + size <= MAX_HANDOVER_LENGTH) {
        values[name] = value;
        length += size;
      } else if (value !== null) {
        this.#options.logger.recordWarning('handover-section-too-long', { section: name, size });
      }
    });
    return values;
  }

  #restoreSection({ name, restore }: HandoverSection): void {
    const value = this.#formerState?.sections[name];
    if (this.#formerState !== null && value !== undefined) {
      restore(value, this.#getAgeMs(this.#formerState.storedAtMs));
    }
  }

  /** The clocks of two owners may differ. */
  #getAgeMs(storedAtMs: number): number {
    return Math.max(0, this.#options.clock.getWallTime() - storedAtMs);
  }
}
