import type { Acknowledgement, MemberIncarnation } from './BaobabwellViewQuorum';
import type { ViewStore } from './BaobabwellViewStore';
import type { Row, TableService } from '@baobabwell/platform';
import type { Clock } from '@baobabwell/utils';

import { z } from 'zod';

import {
  HEARTBEAT_ROW_INTERVAL_MS,
  HEARTBEAT_TABLE,
  LOG_POLL_INTERVAL_MS,
  MAX_PAGE_ROWS,
} from './BaobabwellViewConstants';

const heartbeatSchema = z.object({ incarnation: z.string(), version: z.number().int() });

/** Heartbeat row of an entry, with the version of the row. */
export type HeartbeatRow = Acknowledgement & {
  /** Increases with every write; an increasing version shows that the entry is alive. */
  readonly rowVersion: number;
};

/** Dependencies of {@link HeartbeatRows}. */
export type HeartbeatRowsDependencies = {
  readonly tables: TableService;
  readonly store: ViewStore;
  readonly clock: Clock;
  readonly self: MemberIncarnation;
};

function parseHeartbeat({ key: id, value, version: rowVersion }: Row): HeartbeatRow[] {
  const parsed = heartbeatSchema.safeParse(value);
  return parsed.success ? [{ id, rowVersion, ...parsed.data }] : [];
}

/**
 * Heartbeat rows in the table service, one per entry. Through them, entries that cannot reach each
 * other observe which entries are alive and which version of the view each has applied.
 */
export class HeartbeatRows {
  readonly #dependencies: HeartbeatRowsDependencies;

  readonly #stopped = new AbortController();

  #lastWrittenVersion = -1;

  #lastWrittenAt = Number.NEGATIVE_INFINITY;

  constructor(dependencies: HeartbeatRowsDependencies) {
    this.#dependencies = dependencies;
  }

  /** Lists the rows of all entries; `null` when the table service cannot be read. */
  async list(): Promise<readonly HeartbeatRow[] | null> {
    const page = await this.#dependencies.tables.readSince(HEARTBEAT_TABLE, 0, MAX_PAGE_ROWS);
    return page.ok ? page.value.rows.flatMap(parseHeartbeat) : null;
  }

  /** Writes the row of this entry if the view has changed or the last write is too old. */
  async write(): Promise<void> {
    const { tables, store, clock, self } = this.#dependencies;
    const { version } = store.get();
    const now = clock.getNow();
    const isDue = now - this.#lastWrittenAt >= HEARTBEAT_ROW_INTERVAL_MS;
    if (!isDue && version === this.#lastWrittenVersion) {
      return;
    }
    const value = { incarnation: self.incarnation, version };
    const written = await tables.commit({
      conditions: [],
      writes: [{ table: HEARTBEAT_TABLE, key: self.id, value }],
    });
    if (written.ok) {
      this.#lastWrittenVersion = version;
      this.#lastWrittenAt = now;
    }
  }

  /** Writes the row periodically until {@link stop} is called. */
  async run(): Promise<void> {
    const { clock } = this.#dependencies;
    while (!this.#stopped.signal.aborted) {
      await this.write();
      await clock.wait(LOG_POLL_INTERVAL_MS, this.#stopped.signal);
    }
  }

  /** Stops {@link run}. */
  stop(): void {
    this.#stopped.abort();
  }
}
