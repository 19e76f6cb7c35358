import type { FreshnessTracker } from './BaobabwellViewFreshness';
import type { LogPosition, ViewLog } from './BaobabwellViewLog';
import type { ViewStore } from './BaobabwellViewStore';
import type { Clock } from '@baobabwell/utils';

import { LOG_POLL_INTERVAL_MS } from './BaobabwellViewConstants';
import { LOG_START } from './BaobabwellViewLog';

/** What the follower works with. */
export type ViewFollowerParts = {
  readonly log: ViewLog;
  readonly store: ViewStore;
  readonly freshness: FreshnessTracker;
  readonly clock: Clock;
};

/** Reads the log about once a second and applies what is new. */
export class ViewFollower {
  readonly #parts: ViewFollowerParts;

  readonly #stopped = new AbortController();

  #position: LogPosition = LOG_START;

  #serviceVersion = 0;

  constructor(parts: ViewFollowerParts) {
    this.#parts = parts;
  }

  /** Place in the log that belongs to the newest change read from it. */
  getPosition(): LogPosition {
    return this.#position;
  }

  /**
   * Reads all changes that exist now.
   *
   * @returns whether the view was confirmed to be complete.
   */
  async read(): Promise<boolean> {
    const { log, store, freshness, clock } = this.#parts;
    for (;;) {
      const sentAt = clock.getNow();
      const page = await log.readSince(this.#position);
      if (!page.ok || page.value.serviceVersion < this.#serviceVersion) {
        return false;
      }
      this.#serviceVersion = page.value.serviceVersion;
      page.value.changes.forEach((change) => store.apply(change));
      if (page.value.position.viewVersion >= this.#position.viewVersion) {
        this.#position = page.value.position;
      }
      if (page.value.isComplete) {
        freshness.recordConfirmation(sentAt);
        return true;
      }
    }
  }

  /** Records the position of a change that this entry added itself. */
  recordAppended(position: LogPosition): void {
    if (position.viewVersion > this.#position.viewVersion) {
      this.#position = position;
    }
  }

  /** Reads until stopped. */
  async run(): Promise<void> {
    const { clock } = this.#parts;
    while (!this.#stopped.signal.aborted) {
      await this.read();
      await clock.wait(LOG_POLL_INTERVAL_MS, this.#stopped.signal);
    }
  }

  /** Ends {@link run}. */
  stop(): void {
    this.#stopped.abort();
  }
}
