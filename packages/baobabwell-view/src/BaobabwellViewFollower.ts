import type { FreshnessTracker } from './BaobabwellViewFreshness';
import type { ViewHistory } from './BaobabwellViewHistory';
import type { LogPage, LogPosition, ViewLog } from './BaobabwellViewLog';
import type { ViewSnapshots } from './BaobabwellViewSnapshots';
import type { ViewStore } from './BaobabwellViewStore';
import type { ViewChange } from '@baobabwell/model';
import type { Clock } from '@baobabwell/utils';

import { EntityKind } from '@baobabwell/model';

import { LOG_POLL_INTERVAL_MS, SMALLEST_QUORUM_FLEET } from './BaobabwellViewConstants';
import { LOG_START } from './BaobabwellViewLog';

/** What the follower found wrong with the log. */
export type LogFault =
  /** The log lost changes that were in it before, as after a restore from an older copy. */
  | { readonly kind: 'rolled-back'; readonly version: number }
  /** The log holds another change at a version than this entry has applied. */
  | { readonly kind: 'diverged'; readonly version: number };

/** What the follower works with. */
export type ViewFollowerParts = {
  readonly log: ViewLog;
  readonly store: ViewStore;
  readonly history: ViewHistory;
  readonly snapshots: ViewSnapshots;
  readonly freshness: FreshnessTracker;
  readonly clock: Clock;
  readonly onFault: (fault: LogFault) => void;
};

/**
 * Reads the log about once a second and applies what is new. A log that was restored from an
 * older copy is not believed: it gets back the changes that this entry holds, and confirms the
 * view again only after another source has confirmed it.
 */
export class ViewFollower {
  readonly #parts: ViewFollowerParts;

  readonly #stopped = new AbortController();

  #position: LogPosition = LOG_START;

  #serviceVersion = 0;

  /** When the log was last seen to have gone back, or `null` while it is believed. */
  #doubtedAt: number | null = null;

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
    const { log, store, clock } = this.#parts;
    if (store.get().version === 0) {
      await this.#readSnapshot();
    }
    for (;;) {
      const sentAt = clock.getNow();
      const heldVersion = store.get().version;
      const serviceVersion = this.#serviceVersion;
      const page = await log.readSince(this.#position);
      if (!page.ok) {
        return false;
      }
      if (!this.#checkContinuity(page.value, serviceVersion)) {
        return false;
      }
      if (page.value.isTrimmed) {
        await this.#readSnapshot();
        return false;
      }
      if (!this.#applyChanges(page.value.changes)) {
        return false;
      }
      this.recordAppended(page.value.position);
      if (page.value.isComplete) {
        return this.#confirm(page.value.position, heldVersion, sentAt);
      }
    }
  }

  /** Records the position of a change that is known to stand in the log. */
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

  /** @param knownVersion service version that was known when the page was asked for. */
  #checkContinuity({ isContinuous, serviceVersion }: LogPage, knownVersion: number): boolean {
    if (isContinuous && serviceVersion >= knownVersion) {
      this.#serviceVersion = Math.max(this.#serviceVersion, serviceVersion);
      return true;
    }
    this.#serviceVersion = serviceVersion;
    this.#position = LOG_START;
    this.#doubt({ kind: 'rolled-back', version: this.#parts.store.get().version });
    return false;
  }

  async #readSnapshot(): Promise<void> {
    const snapshot = await this.#parts.snapshots.read();
    if (snapshot !== null) {
      this.#parts.store.applySnapshot(snapshot.view);
      this.recordAppended(snapshot.position);
    }
  }

  #applyChanges(changes: readonly ViewChange[]): boolean {
    const { store, history } = this.#parts;
    const other = changes.find((change) => {
      const known = history.find(change.version);
      return known !== null && known.transactionId !== change.transactionId;
    });
    if (other !== undefined) {
      this.#doubt({ kind: 'diverged', version: other.version });
      return false;
    }
    changes.forEach((change) => store.apply(change));
    return true;
  }

  async #confirm(position: LogPosition, heldVersion: number, sentAt: number): Promise<boolean> {
    if (heldVersion > position.viewVersion) {
      // What this entry held before it asked must stand in the log.
      this.#doubt({ kind: 'rolled-back', version: heldVersion });
      await this.#restore(position);
      return false;
    }
    if (this.#isDoubted()) {
      return false;
    }
    this.#parts.freshness.recordConfirmation(sentAt);
    return true;
  }

  /** Adds the changes that the log has lost; another entry may do the same meanwhile. */
  async #restore(position: LogPosition): Promise<void> {
    const { log, history } = this.#parts;
    let end = position;
    for (const change of history.listSince(position.viewVersion)) {
      const appended = await log.appendAgain(end, change);
      if (appended === null) {
        return;
      }
      end = appended;
    }
    this.#position = end;
  }

  #doubt(fault: LogFault): void {
    if (this.#doubtedAt === null) {
      this.#parts.onFault(fault);
    }
    this.#doubtedAt = this.#parts.clock.getNow();
  }

  /** The log is believed again once another source confirmed the view after the doubt arose. */
  #isDoubted(): boolean {
    const { freshness, clock, store } = this.#parts;
    const isAlone = store.get().countEntities(EntityKind.Member) < SMALLEST_QUORUM_FLEET;
    const isConfirmed = clock.getNow() - freshness.getAge() > (this.#doubtedAt ?? 0);
    if (isAlone || isConfirmed) {
      this.#doubtedAt = null;
    }
    return this.#doubtedAt !== null;
  }
}
