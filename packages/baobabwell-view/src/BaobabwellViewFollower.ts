import type { FreshnessTracker } from './BaobabwellViewFreshness';
import type { ViewHistory } from './BaobabwellViewHistory';
import type { LogPage, LogPosition, ViewLog } from './BaobabwellViewLog';
import type { ViewSnapshots } from './BaobabwellViewSnapshots';
import type { ViewStore } from './BaobabwellViewStore';
import type { ViewChange } from '@baobabwell/model';
import type { Clock } from '@baobabwell/utils';

import { EntityKind } from '@baobabwell/model';

import { LOG_POLL_INTERVAL_MS, MIN_QUORUM_MEMBERS } from './BaobabwellViewConstants';
import { LOG_START } from './BaobabwellViewLog';

/** Inconsistency that the follower detected in the log. */
export type LogFault =
  /** The log lost changes that it contained before, for example in a restore from a backup. */
  | { readonly kind: 'rolled-back'; readonly version: number }
  /** The log and this entry have different changes with the same version. */
  | { readonly kind: 'diverged'; readonly version: number };

/** Dependencies of {@link ViewFollower}. */
export type ViewFollowerDependencies = {
  readonly log: ViewLog;
  readonly store: ViewStore;
  readonly history: ViewHistory;
  readonly snapshots: ViewSnapshots;
  readonly freshness: FreshnessTracker;
  readonly clock: Clock;
  /** Called once when the log stops being trusted. */
  readonly onFault: (fault: LogFault) => void;
};

/**
 * Reads the log about once a second and applies new changes. After a restore from an older copy
 * the log is untrusted: the follower appends the lost changes again from the history of this entry,
 * and reads of the log confirm the view only after another source has confirmed it.
 */
export class ViewFollower {
  readonly #dependencies: ViewFollowerDependencies;

  readonly #stopped = new AbortController();

  #position: LogPosition = LOG_START;

  #serviceVersion = 0;

  /** Monotonic time of the last fault found in the log, or `null` while the log is trusted. */
  #lastFaultAt: number | null = null;

  constructor(dependencies: ViewFollowerDependencies) {
    this.#dependencies = dependencies;
  }

  /** Returns the position of the newest change known to be in the log. */
  getPosition(): LogPosition {
    return this.#position;
  }

  /**
   * Reads all changes that the log contains now.
   *
   * @returns whether the read confirmed that the view is complete.
   */
  async read(): Promise<boolean> {
    const { log, store, clock } = this.#dependencies;
    if (store.get().version === 0) {
      await this.#readSnapshot();
    }
    for (;;) {
      const sentAt = clock.getNow();
      const ownVersion = store.get().version;
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
      this.advancePosition(page.value.position);
      if (page.value.isComplete) {
        return this.#confirm(page.value.position, ownVersion, sentAt);
      }
    }
  }

  /** Advances to the position of a change that is known to be in the log. */
  advancePosition(position: LogPosition): void {
    if (position.viewVersion > this.#position.viewVersion) {
      this.#position = position;
    }
  }

  /** Reads the log periodically until {@link stop} is called. */
  async run(): Promise<void> {
    const { clock } = this.#dependencies;
    while (!this.#stopped.signal.aborted) {
      await this.read();
      await clock.wait(LOG_POLL_INTERVAL_MS, this.#stopped.signal);
    }
  }

  /** Stops {@link run}. */
  stop(): void {
    this.#stopped.abort();
  }

  /** @param previousServiceVersion newest service version known when the page was requested. */
  #checkContinuity(
    { isContinuous, serviceVersion }: LogPage,
    previousServiceVersion: number,
  ): boolean {
    if (isContinuous && serviceVersion >= previousServiceVersion) {
      this.#serviceVersion = Math.max(this.#serviceVersion, serviceVersion);
      return true;
    }
    this.#serviceVersion = serviceVersion;
    this.#position = LOG_START;
    this.#recordFault({ kind: 'rolled-back', version: this.#dependencies.store.get().version });
    return false;
  }

  async #readSnapshot(): Promise<void> {
    const snapshot = await this.#dependencies.snapshots.read();
    if (snapshot !== null) {
      this.#dependencies.store.applySnapshot(snapshot.view);
      this.advancePosition(snapshot.position);
    }
  }

  #applyChanges(changes: readonly ViewChange[]): boolean {
    const { store, history } = this.#dependencies;
    const conflicting = changes.find((change) => {
      const recorded = history.find(change.version);
      return recorded !== null && recorded.transactionId !== change.transactionId;
    });
    if (conflicting !== undefined) {
      this.#recordFault({ kind: 'diverged', version: conflicting.version });
      return false;
    }
    changes.forEach((change) => store.apply(change));
    return true;
  }

  async #confirm(position: LogPosition, ownVersion: number, sentAt: number): Promise<boolean> {
    if (ownVersion > position.viewVersion) {
      // The log must contain every change that this entry had applied before the read.
      this.#recordFault({ kind: 'rolled-back', version: ownVersion });
      await this.#restoreLostChanges(position);
      return false;
    }
    if (this.#isLogUntrusted()) {
      return false;
    }
    this.#dependencies.freshness.recordConfirmation(sentAt);
    return true;
  }

  /** Appends the changes that the log has lost; another entry may do so concurrently. */
  async #restoreLostChanges(position: LogPosition): Promise<void> {
    const { log, history } = this.#dependencies;
    let last = position;
    for (const change of history.listSince(position.viewVersion)) {
      const appended = await log.reappend(last, change);
      if (appended === null) {
        return;
      }
      last = appended;
    }
    this.#position = last;
  }

  #recordFault(fault: LogFault): void {
    if (this.#lastFaultAt === null) {
      this.#dependencies.onFault(fault);
    }
    this.#lastFaultAt = this.#dependencies.clock.getNow();
  }

  /**
   * Returns whether the log is untrusted. The log is trusted again once another source has confirmed
   * the view after the last fault, or when the fleet is too small for a quorum.
   */
  #isLogUntrusted(): boolean {
    const { freshness, clock, store } = this.#dependencies;
    const hasTooFewMembers = store.get().countEntities(EntityKind.Member) < MIN_QUORUM_MEMBERS;
    const isConfirmed = clock.getNow() - freshness.getAge() > (this.#lastFaultAt ?? 0);
    if (hasTooFewMembers || isConfirmed) {
      this.#lastFaultAt = null;
    }
    return this.#lastFaultAt !== null;
  }
}
