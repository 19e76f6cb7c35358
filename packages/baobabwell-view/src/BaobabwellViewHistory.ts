import type { ViewChange } from '@baobabwell/model';

/** Retains the newest changes in memory for peers that lag behind. */
export class ViewHistory {
  readonly #maxChanges: number;

  readonly #changes: ViewChange[] = [];

  constructor(maxChanges: number) {
    this.#maxChanges = maxChanges;
  }

  /** Adds the next change and drops the oldest one when the history is full. */
  add(change: ViewChange): void {
    this.#changes.push(change);
    if (this.#changes.length > this.#maxChanges) {
      this.#changes.shift();
    }
  }

  /** Removes all changes, because the view jumped to a snapshot without the changes in between. */
  clear(): void {
    this.#changes.length = 0;
  }

  /** Finds the change with a version; `null` when it is not retained. */
  find(version: number): ViewChange | null {
    const oldest = this.#changes[0];
    return oldest === undefined ? null : (this.#changes[version - oldest.version] ?? null);
  }

  /** Lists the changes after a version, oldest first; empty unless all of them are retained. */
  listSince(version: number): readonly ViewChange[] {
    const oldest = this.#changes[0];
    if (oldest === undefined || oldest.version > version + 1) {
      return [];
    }
    return this.#changes.slice(version + 1 - oldest.version);
  }
}
