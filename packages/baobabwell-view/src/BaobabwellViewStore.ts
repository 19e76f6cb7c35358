import type { Undo } from '@baobabwell/kernel';
import type { ViewChange } from '@baobabwell/model';

import { FleetView } from '@baobabwell/model';

/** What a listener is told about one applied change. */
export type ViewUpdate = {
  readonly previous: FleetView;
  readonly current: FleetView;
  readonly change: ViewChange;
};

/** Receives each applied change, in order. */
export type ViewListener = (update: ViewUpdate) => void;

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
    const current = previous.apply(change);
    this.#view = current;
    this.#listeners.forEach((listener) => listener({ previous, current, change }));
    return true;
  }

  /** Calls `listener` after each applied change. */
  registerListener(listener: ViewListener): Undo {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }
}
