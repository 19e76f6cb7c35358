import type { Undo } from '@baobabwell/kernel';
import type { ViewChange } from '@baobabwell/model';

import { createRemoval, FleetView } from '@baobabwell/model';

/** What a listener is told about one applied change. */
export type ViewUpdate = {
  readonly previous: FleetView;
  readonly current: FleetView;
  /** What changed; for a snapshot, all that differs from the view before. */
  readonly change: ViewChange;
  /** True when the view jumped to a snapshot and the changes in between are not known. */
  readonly isSnapshot: boolean;
};

/** Receives each applied change, in order. */
export type ViewListener = (update: ViewUpdate) => void;

function buildSnapshotChange(previous: FleetView, current: FleetView): ViewChange {
  const removals = previous
    .listMutations()
    .filter(({ kind, id }) => current.get(kind, id) === null)
    .map(({ kind, id }) => createRemoval(kind, id));
  return {
    version: current.version,
    transactionId: '',
    author: '',
    command: 'snapshot',
    reason: '',
    at: 0,
    mutations: [...removals, ...current.listMutations()],
  };
}

/** Holds the newest snapshot; it only ever moves forward. */
export class ViewStore {
  readonly #listeners = new Set<ViewListener>();

  #view: FleetView = FleetView.EMPTY;

  /** The newest snapshot. */
  get(): FleetView {
    return this.#view;
  }

  /**
   * Applies a change if it is the next one.
   *
   * @returns whether the store now contains the change.
   */
  apply(change: ViewChange): boolean {
    const previous = this.#view;
    if (change.version <= previous.version) {
      return true;
    }
    if (change.version > previous.version + 1) {
      return false;
    }
    this.#replace({ previous, current: previous.apply(change), change, isSnapshot: false });
    return true;
  }

  /** Jumps to a snapshot, unless the store already contains it. */
  applySnapshot(current: FleetView): void {
    const previous = this.#view;
    if (current.version > previous.version) {
      const change = buildSnapshotChange(previous, current);
      this.#replace({ previous, current, change, isSnapshot: true });
    }
  }

  /** Calls `listener` after each applied change. */
  registerListener(listener: ViewListener): Undo {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  #replace(update: ViewUpdate): void {
    this.#view = update.current;
    this.#listeners.forEach((listener) => listener(update));
  }
}
