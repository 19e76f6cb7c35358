import type { VersionedWork, Work } from './BaobabwellDeferred';
import type { TableService } from '@baobabwell/platform';

import { isOpen, WorkState } from './BaobabwellDeferred';
import { WORK_PAGE_ROWS, WORK_TABLE } from './BaobabwellDeferredConstants';
import { parseWork } from './BaobabwellDeferredRows';

/** Receives each row that was read. */
export type WorkListener = (work: Work) => void;

/** The open work of the table as of the last read, and the rows that have ended since. */
export class WorkIndex {
  readonly #tables: TableService;

  readonly #open = new Map<string, VersionedWork>();

  /**
   * Versions of rows that ended by this entry's own writes: a read that was under way meanwhile
   * must not bring an older state of them back.
   */
  readonly #ended = new Map<string, number>();

  readonly #listeners = new Set<WorkListener>();

  #readVersion = 0;

  constructor(tables: TableService) {
    this.#tables = tables;
  }

  /** Reads what has changed; `false` when the table could not be read. */
  async read(): Promise<boolean> {
    for (;;) {
      const page = await this.#tables.readSince(WORK_TABLE, this.#readVersion, WORK_PAGE_ROWS);
      if (!page.ok) {
        return false;
      }
      page.value.rows.forEach(({ key, value, version }) => {
        this.#apply(key, parseWork(value), version);
      });
      if (page.value.rows.length < WORK_PAGE_ROWS) {
        this.#removePassed();
        return true;
      }
    }
  }

  /** Takes a row that this entry wrote itself into account. */
  record(work: Work, version: number): void {
    const known = this.#open.get(work.id);
    if (known === undefined || known.version < version) {
      this.#put(work, version);
    }
  }

  /** Gets open work by its identifier. */
  get(id: string): VersionedWork | null {
    return this.#open.get(id) ?? null;
  }

  /** Lists all open work. */
  list(): readonly VersionedWork[] {
    return [...this.#open.values()];
  }

  /** Lists the waiting work of a queue that may start, the earliest deadline first. */
  listStartable(queue: string, wallTime: number): readonly VersionedWork[] {
    return this.list()
      .filter(
        ({ work }) =>
          work.queue === queue && work.state === WorkState.Waiting && work.notBefore <= wallTime,
      )
      .toSorted((a, b) => a.work.deadlineAt - b.work.deadlineAt);
  }

  /** Calls `listener` with each row that is read or recorded; returns the undo. */
  registerListener(listener: WorkListener): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  #removePassed(): void {
    this.#ended.forEach((version, id) => {
      if (version <= this.#readVersion) {
        this.#ended.delete(id);
      }
    });
  }

  #apply(key: string, work: Work | null, version: number): void {
    this.#readVersion = Math.max(this.#readVersion, version);
    if (work === null) {
      this.#open.delete(key);
      return;
    }
    const known = this.#open.get(key)?.version ?? this.#ended.get(key) ?? 0;
    if (known <= version) {
      this.#put(work, version);
    }
  }

  #put(work: Work, version: number): void {
    if (isOpen(work)) {
      this.#open.set(work.id, { work, version });
    } else {
      this.#open.delete(work.id);
      this.#ended.set(work.id, version);
    }
    this.#listeners.forEach((listener) => listener(work));
  }
}
