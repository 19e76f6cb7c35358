import type { BodyStore } from './BaobabwellDeferredBodies';
import type { WorkStore } from './BaobabwellDeferredStore';
import type { TableService } from '@baobabwell/platform';
import type { Clock } from '@baobabwell/utils';

import { isOpen } from './BaobabwellDeferred';
import {
  RETENTION_MS,
  SWEEP_INTERVAL_MS,
  WORK_PAGE_ROWS,
  WORK_TABLE,
} from './BaobabwellDeferredConstants';
import { parseWork } from './BaobabwellDeferredRows';

/** What the sweeper works with. */
export type WorkSweeperParts = {
  readonly clock: Clock;
  readonly tables: TableService;
  readonly store: WorkStore;
  readonly bodies: BodyStore;
  /** Whether this entry is the one that removes old rows. */
  readonly isResponsible: () => boolean;
};

/** Removes the rows and objects of work that ended long ago. */
export class WorkSweeper {
  readonly #parts: WorkSweeperParts;

  readonly #stopped = new AbortController();

  /** Rows up to this version are gone or were removed. */
  #sweptVersion = 0;

  constructor(parts: WorkSweeperParts) {
    this.#parts = parts;
  }

  /** Removes old rows until stopped. */
  async run(): Promise<void> {
    const { clock, isResponsible } = this.#parts;
    while (!this.#stopped.signal.aborted) {
      await clock.wait(SWEEP_INTERVAL_MS, this.#stopped.signal);
      if (isResponsible() && !this.#stopped.signal.aborted) {
        await this.sweep();
      }
    }
  }

  /** Ends {@link run}. */
  stop(): void {
    this.#stopped.abort();
  }

  /** Removes what is old now, from the oldest row up to the first that has to be kept. */
  async sweep(): Promise<void> {
    const { tables, clock, store, bodies } = this.#parts;
    const page = await tables.readSince(WORK_TABLE, this.#sweptVersion, WORK_PAGE_ROWS);
    if (!page.ok) {
      return;
    }
    const oldest = clock.getWallTime() - RETENTION_MS;
    for (const { value, version } of page.value.rows) {
      const work = parseWork(value);
      if (work !== null) {
        if (isOpen(work) || (work.endedAt ?? oldest) > oldest) {
          return;
        }
        await bodies.remove(work.body);
        await bodies.remove(work.result?.body ?? null);
        if (!(await store.remove({ work, version }))) {
          return;
        }
      }
      this.#sweptVersion = version;
    }
  }
}
