import type { BodyStore } from './BaobabwellDeferredBodies';
import type { WorkStore } from './BaobabwellDeferredStore';
import type { TableService } from '@baobabwell/platform';
import type { Clock } from '@baobabwell/utils';

import { isOpen } from './BaobabwellDeferred';
import {
  MAX_PAGE_ROWS,
  RETENTION_MS,
  SWEEP_INTERVAL_MS,
  WORK_TABLE,
} from './BaobabwellDeferredConstants';
import { parseWork } from './BaobabwellDeferredRows';

/** Dependencies of {@link WorkSweeper}. */
export type WorkSweeperDependencies = {
  readonly clock: Clock;
  readonly tables: TableService;
  readonly store: WorkStore;
  readonly bodies: BodyStore;
  /** Returns whether this entry is responsible for the removal of expired rows. */
  readonly isResponsible: () => boolean;
};

/** Removes the rows and objects of work items whose retention time has passed. */
export class WorkSweeper {
  readonly #dependencies: WorkSweeperDependencies;

  readonly #stopped = new AbortController();

  /** Row version up to which all rows have been removed. */
  #sweptVersion = 0;

  constructor(dependencies: WorkSweeperDependencies) {
    this.#dependencies = dependencies;
  }

  /** Removes expired rows periodically until {@link stop} is called. */
  async run(): Promise<void> {
    const { clock, isResponsible } = this.#dependencies;
    while (!this.#stopped.signal.aborted) {
      await clock.wait(SWEEP_INTERVAL_MS, this.#stopped.signal);
      if (isResponsible() && !this.#stopped.signal.aborted) {
        await this.sweep();
      }
    }
  }

  /** Stops {@link run}. */
  stop(): void {
    this.#stopped.abort();
  }

  /** Removes expired rows, from the oldest row up to the first one that must be retained. */
  async sweep(): Promise<void> {
    const { tables, clock, store, bodies } = this.#dependencies;
    const page = await tables.readSince(WORK_TABLE, this.#sweptVersion, MAX_PAGE_ROWS);
    if (!page.ok) {
      return;
    }
    const cutoff = clock.getWallTime() - RETENTION_MS;
    for (const { value, version } of page.value.rows) {
      const work = parseWork(value);
      if (work !== null) {
        if (isOpen(work) || (work.endedAt ?? cutoff) > cutoff) {
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
