import type { VersionedWork, Work } from './BaobabwellDeferred';
import type { TableService } from '@baobabwell/platform';

import { isOpen, WorkState } from './BaobabwellDeferred';
import { MAX_PAGE_ROWS, WORK_TABLE } from './BaobabwellDeferredConstants';
import { parseWork } from './BaobabwellDeferredRows';

/** Receives each row that was read or recorded. */
export type WorkListener = (work: Work) => void;

/** In-memory index of the open work in the table, as of the last read and own writes. */
export class WorkIndex {
  readonly #tables: TableService;

  readonly #open = new Map<string, VersionedWork>();

  /**
   * Row versions of work items that have ended. They prevent a read that was in flight during a
   * write of this entry from restoring an older state.
   */
  readonly #endedVersions = new Map<string, number>();

  readonly #listeners = new Set<WorkListener>();

  #readVersion = 0;

  constructor(tables: TableService) {
    this.#tables = tables;
  }

  /** Reads all changes of the table; returns `false` when it could not be read. */
  async read(): Promise<boolean> {
    for (;;) {
      const page = await this.#tables.readSince(WORK_TABLE, this.#readVersion, MAX_PAGE_ROWS);
      if (!page.ok) {
        return false;
      }
      page.value.rows.forEach(({ key, value, version }) => {
        this.#apply(key, parseWork(value), version);
      });
      if (page.value.rows.length < MAX_PAGE_ROWS) {
        this.#pruneEndedVersions();
        return true;
      }
    }
  }

  /** Records a row that this entry wrote. */
  record(work: Work, version: number): void {
    const current = this.#open.get(work.id);
    if (current === undefined || current.version < version) {
      this.#put(work, version);
    }
  }

  /** Returns an open work item by its identifier, or `null`. */
  get(id: string): VersionedWork | null {
    return this.#open.get(id) ?? null;
  }

  /** Lists all open work items. */
  list(): readonly VersionedWork[] {
    return [...this.#open.values()];
  }

  /** Lists the waiting work items of a queue that may start, earliest deadline first. */
  listStartable(queue: string, wallTime: number): readonly VersionedWork[] {
    return this.list()
      .filter(
        ({ work }) =>
          work.queue === queue && work.state === WorkState.Waiting && work.notBefore <= wallTime,
      )
      .toSorted((a, b) => a.work.deadlineAt - b.work.deadlineAt);
  }

  /** Registers a listener for each row that is read or recorded; returns its removal. */
  registerListener(listener: WorkListener): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  #pruneEndedVersions(): void {
    this.#endedVersions.forEach((version, id) => {
      if (version <= this.#readVersion) {
        this.#endedVersions.delete(id);
      }
    });
  }

  #apply(key: string, work: Work | null, version: number): void {
    this.#readVersion = Math.max(this.#readVersion, version);
    if (work === null) {
      this.#open.delete(key);
      return;
    }
    const current = this.#open.get(key)?.version ?? this.#endedVersions.get(key) ?? 0;
    if (current <= version) {
      this.#put(work, version);
    }
  }

  #put(work: Work, version: number): void {
    if (isOpen(work)) {
      this.#open.set(work.id, { work, version });
    } else {
      this.#open.delete(work.id);
      this.#endedVersions.set(work.id, version);
    }
    this.#listeners.forEach((listener) => listener(work));
  }
}
