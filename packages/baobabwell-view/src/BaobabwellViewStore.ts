import type { Undo } from '@baobabwell/kernel';
import type { ViewChange } from '@baobabwell/model';

import { createRemoval, FleetView } from '@baobabwell/model';

/** Notification of one applied change. */
export type ViewUpdate = {
  readonly previous: FleetView;
  readonly current: FleetView;
  /** Applied change; for a snapshot, all removals since the previous view and all entities. */
  readonly change: ViewChange;
  /** True when the view jumped to a snapshot without the changes in between. */
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

/** Holds the newest view that this entry has; its version never decreases. */
export class ViewStore {
  readonly #listeners = new Set<ViewListener>();

  #view: FleetView = FleetView.EMPTY;

  /** Returns the newest view. */
  get(): FleetView {
    return this.#view;
  }

  /**
   * Applies a change if its version directly follows that of the view.
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

  /** Replaces the view with a snapshot, unless the view is already as new. */
  applySnapshot(current: FleetView): void {
    const previous = this.#view;
    if (current.version > previous.version) {
      const change = buildSnapshotChange(previous, current);
      this.#replace({ previous, current, change, isSnapshot: true });
    }
  }

  /** Registers a listener that is called after each applied change. */
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
