import type { ViewChange } from '@baobabwell/model';

/** Keeps the newest changes in memory, for peers that lag behind. */
export class ViewHistory {
  readonly #capacity: number;

  readonly #changes: ViewChange[] = [];

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** Adds the next change. */
  add(change: ViewChange): void {
    this.#changes.push(change);
    if (this.#changes.length > this.#capacity) {
      this.#changes.shift();
    }
  }

  /** Forgets everything, after the view jumped past changes that are not known. */
  clear(): void {
    this.#changes.length = 0;
  }

  /** Finds the change with a version, or `null` when it is not kept. */
  find(version: number): ViewChange | null {
    const first = this.#changes[0];
    return first === undefined ? null : (this.#changes[version - first.version] ?? null);
  }

  /** Lists the changes after a version, oldest first; empty when they are no longer all kept. */
  listSince(version: number): readonly ViewChange[] {
    const first = this.#changes[0];
    if (first === undefined || first.version > version + 1) {
      return [];
    }
    return this.#changes.slice(version + 1 - first.version);
  }
}
