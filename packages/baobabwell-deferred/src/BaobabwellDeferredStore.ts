import type { VersionedWork, Work } from './BaobabwellDeferred';
import type { WorkIndex } from './BaobabwellDeferredIndex';
import type { TableService } from '@baobabwell/platform';

import { WORK_TABLE } from './BaobabwellDeferredConstants';
import { formatWork, parseWork } from './BaobabwellDeferredRows';

/** Change of one row that requires the row to have an expected version. */
export type WorkChange = {
  readonly work: Work;
  readonly expectedVersion: number;
};

/** Reads and changes rows of the work table. */
export class WorkStore {
  readonly #tables: TableService;

  readonly #index: WorkIndex;

  constructor(tables: TableService, index: WorkIndex) {
    this.#tables = tables;
    this.#index = index;
  }

  /** Reads a row; `null` when it does not exist, `undefined` when the table cannot be read. */
  async read(id: string): Promise<VersionedWork | null | undefined> {
    const row = await this.#tables.read(WORK_TABLE, id);
    if (!row.ok) {
      return undefined;
    }
    const work = row.value === null ? null : parseWork(row.value.value);
    return work === null || row.value === null ? null : { work, version: row.value.version };
  }

  /** Writes rows in one transaction; `false` when it failed or its outcome is unknown. */
  async write(changes: readonly WorkChange[]): Promise<boolean> {
    const committed = await this.#tables.commit({
      conditions: changes.map(({ work, expectedVersion }) => ({
        table: WORK_TABLE,
        key: work.id,
        version: expectedVersion,
      })),
      writes: changes.map(({ work }) => ({
        table: WORK_TABLE,
        key: work.id,
        value: formatWork(work),
      })),
    });
    if (committed.ok) {
      changes.forEach(({ work }) => this.#index.record(work, committed.value));
    }
    return committed.ok;
  }

  /** Removes a row; `false` when the removal failed or its outcome is unknown. */
  async remove({ work, version }: VersionedWork): Promise<boolean> {
    const committed = await this.#tables.commit({
      conditions: [{ table: WORK_TABLE, key: work.id, version }],
      writes: [{ table: WORK_TABLE, key: work.id, value: null }],
    });
    return committed.ok;
  }
}
