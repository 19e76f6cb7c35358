import { PriorityClass } from '@baobabwell/model';

const PRIORITY_ORDER = [PriorityClass.Urgent, PriorityClass.Normal, PriorityClass.Batch] as const;

/** Every n-th non-urgent item is taken from the batch class if that has any. */
const BATCH_FIRST_INTERVAL = 4;

/**
 * Waiting items of one team: urgent items come first, and normal items never starve batch items.
 */
export class TeamQueue<T> {
  virtualTime: number;

  readonly #items: Readonly<Record<PriorityClass, Set<T>>> = {
    [PriorityClass.Urgent]: new Set<T>(),
    [PriorityClass.Normal]: new Set<T>(),
    [PriorityClass.Batch]: new Set<T>(),
  };

  #servedCount = 0;

  constructor(virtualTime = 0) {
    this.virtualTime = virtualTime;
  }

  /** Returns the number of items. */
  getCount(): number {
    return PRIORITY_ORDER.reduce((sum, priority) => sum + this.#items[priority].size, 0);
  }

  /** Returns how many items are served before a new item of a priority class. */
  getCountBefore(priority: PriorityClass): number {
    const until = PRIORITY_ORDER.indexOf(priority) + 1;
    return PRIORITY_ORDER.slice(0, until).reduce((sum, one) => sum + this.#items[one].size, 0);
  }

  /** Returns whether urgent items wait. */
  hasUrgent(): boolean {
    return this.#items[PriorityClass.Urgent].size > 0;
  }

  /** Appends an item to its priority class. */
  add(item: T, priority: PriorityClass): void {
    this.#items[priority].add(item);
  }

  /** Removes an item; returns whether it was waiting. */
  remove(item: T): boolean {
    const removedFrom = PRIORITY_ORDER.find((priority) => this.#items[priority].delete(item));
    this.#servedCount += removedFrom === undefined || removedFrom === PriorityClass.Urgent ? 0 : 1;
    return removedFrom !== undefined;
  }

  /** Lists the items in the order in which they are served. */
  *listItems(): Iterable<T> {
    yield* this.#items[PriorityClass.Urgent];
    const isBatchFirst = this.#servedCount % BATCH_FIRST_INTERVAL === BATCH_FIRST_INTERVAL - 1;
    const [first, second] = isBatchFirst
      ? [PriorityClass.Batch, PriorityClass.Normal]
      : [PriorityClass.Normal, PriorityClass.Batch];
    yield* this.#items[first];
    yield* this.#items[second];
  }
}
