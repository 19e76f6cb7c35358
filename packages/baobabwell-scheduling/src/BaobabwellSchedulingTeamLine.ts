import { PriorityClass } from '@baobabwell/model';

const CLASSES = [PriorityClass.Urgent, PriorityClass.Normal, PriorityClass.Batch] as const;

/** Every so many items that are not urgent, batch comes first. */
const BATCH_TURN = 4;

/** The waiting items of one team: urgent first, and batch never starved by normal work. */
export class TeamLine<T> {
  virtualTime: number;

  readonly #items: Readonly<Record<PriorityClass, Set<T>>> = {
    [PriorityClass.Urgent]: new Set<T>(),
    [PriorityClass.Normal]: new Set<T>(),
    [PriorityClass.Batch]: new Set<T>(),
  };

  #served = 0;

  constructor(virtualTime = 0) {
    this.virtualTime = virtualTime;
  }

  /** Number of items. */
  getCount(): number {
    return CLASSES.reduce((sum, priority) => sum + this.#items[priority].size, 0);
  }

  /** Number of items that come before a new one of a class. */
  getCountBefore(priority: PriorityClass): number {
    const until = CLASSES.indexOf(priority) + 1;
    return CLASSES.slice(0, until).reduce((sum, one) => sum + this.#items[one].size, 0);
  }

  /** Whether urgent items wait. */
  hasUrgent(): boolean {
    return this.#items[PriorityClass.Urgent].size > 0;
  }

  /** Adds an item at the end of its class. */
  add(item: T, priority: PriorityClass): void {
    this.#items[priority].add(item);
  }

  /** Removes an item; returns whether it was there. */
  remove(item: T): boolean {
    const found = CLASSES.find((priority) => this.#items[priority].delete(item));
    this.#served += found === undefined || found === PriorityClass.Urgent ? 0 : 1;
    return found !== undefined;
  }

  /** Lists the items in the order in which they are to be served. */
  *listItems(): Iterable<T> {
    yield* this.#items[PriorityClass.Urgent];
    const isBatchTurn = this.#served % BATCH_TURN === BATCH_TURN - 1;
    const [first, second] = isBatchTurn
      ? [PriorityClass.Batch, PriorityClass.Normal]
      : [PriorityClass.Normal, PriorityClass.Batch];
    yield* this.#items[first];
    yield* this.#items[second];
  }
}
