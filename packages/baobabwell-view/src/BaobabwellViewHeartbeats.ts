import type { Acknowledgement, MemberLife } from './BaobabwellViewQuorum';
import type { ViewStore } from './BaobabwellViewStore';
import type { Row, TableService } from '@baobabwell/platform';
import type { Clock } from '@baobabwell/utils';

import { z } from 'zod';

import {
  HEARTBEAT_ROW_INTERVAL_MS,
  HEARTBEAT_TABLE,
  LOG_PAGE_ROWS,
  LOG_POLL_INTERVAL_MS,
} from './BaobabwellViewConstants';

const heartbeatSchema = z.object({ incarnation: z.string(), version: z.number().int() });

/** A heartbeat row as it was read. */
export type HeartbeatRow = Acknowledgement & {
  /** Grows with every write of the row; a row whose version grows belongs to a live entry. */
  readonly rowVersion: number;
};

/** What the heartbeat rows work with. */
export type HeartbeatRowsParts = {
  readonly tables: TableService;
  readonly store: ViewStore;
  readonly clock: Clock;
  readonly self: MemberLife;
};

function parseHeartbeat({ key: id, value, version: rowVersion }: Row): HeartbeatRow[] {
  const parsed = heartbeatSchema.safeParse(value);
  return parsed.success ? [{ id, rowVersion, ...parsed.data }] : [];
}

/**
 * One row for each entry in the table service, by which entries that cannot reach each other
 * still learn of each other's life and of the changes that each has applied.
 */
export class HeartbeatRows {
  readonly #parts: HeartbeatRowsParts;

  readonly #stopped = new AbortController();

  #writtenVersion = -1;

  #writtenAt = Number.NEGATIVE_INFINITY;

  constructor(parts: HeartbeatRowsParts) {
    this.#parts = parts;
  }

  /** Lists the rows of all entries, or `null` when the table service does not answer. */
  async list(): Promise<readonly HeartbeatRow[] | null> {
    const page = await this.#parts.tables.readSince(HEARTBEAT_TABLE, 0, LOG_PAGE_ROWS);
    return page.ok ? page.value.rows.flatMap(parseHeartbeat) : null;
  }

  /** Writes the row of this entry when it is due: after a change, and every few seconds. */
  async write(): Promise<void> {
    const { tables, store, clock, self } = this.#parts;
    const { version } = store.get();
    const now = clock.getNow();
    const isDue = now - this.#writtenAt >= HEARTBEAT_ROW_INTERVAL_MS;
    if (!isDue && version === this.#writtenVersion) {
      return;
    }
    const value = { incarnation: self.incarnation, version };
    const written = await tables.commit({
      conditions: [],
      writes: [{ table: HEARTBEAT_TABLE, key: self.id, value }],
    });
    if (written.ok) {
      this.#writtenVersion = version;
      this.#writtenAt = now;
    }
  }

  /** Writes until stopped. */
  async run(): Promise<void> {
    const { clock } = this.#parts;
    while (!this.#stopped.signal.aborted) {
      await this.write();
      await clock.wait(LOG_POLL_INTERVAL_MS, this.#stopped.signal);
    }
  }

  /** Ends {@link run}. */
  stop(): void {
    this.#stopped.abort();
  }
}
