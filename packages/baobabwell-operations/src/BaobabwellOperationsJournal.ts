import type { EntityKind, FleetView, Mutation, ViewChange } from '@baobabwell/model';

/** A change and the mutations that revert it. */
export type JournalEntry = {
  readonly change: ViewChange;
  /** Mutations that restore the entities that the change replaced. */
  readonly inverse: readonly Mutation[];
};

function buildInverse(previous: FleetView, { mutations }: ViewChange): readonly Mutation[] {
  return mutations
    .map(({ kind, id }) => ({ kind, id, value: previous.get(kind, id) }) as Mutation)
    .toReversed();
}

function getEntityKey(kind: EntityKind, id: string): string {
  return `${kind}/${id}`;
}

/** Holds the newest changes in memory, with the mutations that revert each of them. */
export class ChangeJournal {
  readonly #capacity: number;

  readonly #entries = new Map<number, JournalEntry>();

  readonly #lastChanges = new Map<string, ViewChange>();

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** Records a change when it is applied to the view. */
  record(previous: FleetView, change: ViewChange): void {
    this.#entries.set(change.version, { change, inverse: buildInverse(previous, change) });
    change.mutations.forEach(({ kind, id }) =>
      this.#lastChanges.set(getEntityKey(kind, id), change),
    );
    const oldest = change.version - this.#capacity;
    this.#entries.delete(oldest);
  }

  /** Removes all entries, after the view skipped changes that this process did not receive. */
  clear(): void {
    this.#entries.clear();
    this.#lastChanges.clear();
  }

  /** Finds the change that created a version, or `null` if the journal does not hold it. */
  find(version: number): JournalEntry | null {
    return this.#entries.get(version) ?? null;
  }

  /** Finds the last recorded change of an entity, or `null`. */
  findLastChange(kind: EntityKind, id: string): ViewChange | null {
    return this.#lastChanges.get(getEntityKey(kind, id)) ?? null;
  }

  /** Returns the oldest version in the journal, or `null` if it is empty. */
  getOldestVersion(): number | null {
    return this.#entries.keys().next().value ?? null;
  }

  /** Lists the changes after a version, oldest first. */
  listSince(version: number): readonly ViewChange[] {
    return [...this.#entries.values()]
      .map(({ change }) => change)
      .filter((change) => change.version > version);
  }
}
