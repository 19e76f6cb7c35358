import type { EntityKind, FleetView, Mutation, ViewChange } from '@baobabwell/model';

/** One change and what it replaced. */
export type JournalEntry = {
  readonly change: ViewChange;
  /** The mutations that put back what the change replaced. */
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

/** Remembers the newest changes: who made them, and what they replaced. */
export class ChangeJournal {
  readonly #capacity: number;

  readonly #entries = new Map<number, JournalEntry>();

  readonly #lastChanges = new Map<string, ViewChange>();

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** Records a change as it is applied. */
  record(previous: FleetView, change: ViewChange): void {
    this.#entries.set(change.version, { change, inverse: buildInverse(previous, change) });
    change.mutations.forEach(({ kind, id }) =>
      this.#lastChanges.set(getEntityKey(kind, id), change),
    );
    const oldest = change.version - this.#capacity;
    this.#entries.delete(oldest);
  }

  /** Forgets everything, after the view jumped past changes that are not known. */
  clear(): void {
    this.#entries.clear();
    this.#lastChanges.clear();
  }

  /** Finds the change that made a version, or `null` when it is no longer remembered. */
  find(version: number): JournalEntry | null {
    return this.#entries.get(version) ?? null;
  }

  /** Finds the last change of an entity, or `null` when none is known. */
  findLastChange(kind: EntityKind, id: string): ViewChange | null {
    return this.#lastChanges.get(getEntityKey(kind, id)) ?? null;
  }

  /** The oldest version that is remembered, or `null` when none is. */
  getOldest(): number | null {
    return this.#entries.keys().next().value ?? null;
  }

  /** Lists the changes after a version, oldest first. */
  listSince(version: number): readonly ViewChange[] {
    return [...this.#entries.values()]
      .map(({ change }) => change)
      .filter((change) => change.version > version);
  }
}
