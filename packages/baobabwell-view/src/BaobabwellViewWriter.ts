import type { ViewFollower } from './BaobabwellViewFollower';
import type { HeartbeatRows } from './BaobabwellViewHeartbeats';
import type { LogError, LogPosition, ViewLog } from './BaobabwellViewLog';
import type { ChangeProgress, ViewQuorum } from './BaobabwellViewQuorum';
import type { ViewStore } from './BaobabwellViewStore';
import type { FleetView, Mutation, ViewChange } from '@baobabwell/model';
import type { Clock, Result } from '@baobabwell/utils';

import { randomUUID } from 'node:crypto';

import { createError, createOk } from '@baobabwell/utils';

import {
  ACCEPTANCE_TIMEOUT_MS,
  HEARTBEAT_READ_INTERVAL_MS,
  MAX_COMMIT_ATTEMPTS,
} from './BaobabwellViewConstants';

const ACCEPTANCE_POLL_INTERVAL_MS = 5;

/** Proposed change that has no version yet. */
export type ChangeDraft<Refusal> = {
  readonly author: string;
  readonly command: string;
  readonly reason: string;
  /** Builds the mutations from the newest view; called again after a concurrent change. */
  readonly build: (view: FleetView) => Result<readonly Mutation[], Refusal>;
};

/** Reason why a change was not, or may not have been, committed. */
export type ChangeError<Refusal> =
  | { readonly kind: 'refused'; readonly refusal: Refusal }
  | { readonly kind: 'unavailable'; readonly cause: string }
  | { readonly kind: 'unknown'; readonly transactionId: string };

/** Receives each change that this entry commits, directly after the commit. */
export type CommitListener = (change: ViewChange, position: LogPosition) => void;

/** Dependencies of {@link ViewWriter}. */
export type ViewWriterDependencies = {
  readonly log: ViewLog;
  readonly store: ViewStore;
  readonly follower: ViewFollower;
  readonly quorum: ViewQuorum;
  readonly heartbeats: HeartbeatRows;
  readonly clock: Clock;
  readonly onCommit: CommitListener;
};

/** Returns whether the writer must not retry after an error. */
function isFinalError(
  error: LogError,
): error is Exclude<LogError, { kind: 'overtaken' | 'abandoned' }> {
  return error.kind !== 'overtaken' && error.kind !== 'abandoned';
}

/** Commits changes that are built from the newest view, unless another change came in between. */
export class ViewWriter {
  readonly #dependencies: ViewWriterDependencies;

  constructor(dependencies: ViewWriterDependencies) {
    this.#dependencies = dependencies;
  }

  /**
   * Commits a change, or returns the reason why it was not committed. A committed change is not yet
   * accepted; {@link waitUntilAccepted} waits for that.
   */
  async write<Refusal>(
    draft: ChangeDraft<Refusal>,
  ): Promise<Result<ViewChange, ChangeError<Refusal>>> {
    const { log, store, follower, onCommit } = this.#dependencies;
    for (let attempt = 0; attempt < MAX_COMMIT_ATTEMPTS; attempt += 1) {
      if (!(await follower.read())) {
        return createError({
          kind: 'unavailable',
          cause: 'the view log could not be read or confirmed',
        });
      }
      const view = store.get();
      const position = follower.getPosition();
      if (view.version !== position.viewVersion) {
        // A peer sent a newer change than the last read of the log returned: read the log again.
        continue;
      }
      const mutations = draft.build(view);
      if (!mutations.ok) {
        return createError({ kind: 'refused', refusal: mutations.error });
      }
      const change = this.#buildChange(draft, view.version + 1, mutations.value);
      const appended = await log.append(position, change);
      if (appended.ok) {
        follower.advancePosition(appended.value);
        store.apply(change);
        onCommit(change, appended.value);
        return createOk(change);
      }
      if (isFinalError(appended.error)) {
        return createError(appended.error);
      }
    }
    return createError({
      kind: 'unavailable',
      cause: 'concurrent changes overtook every commit attempt',
    });
  }

  /**
   * Waits until a committed change is accepted or the timeout has passed. The default is the time
   * that an operator should wait at most.
   *
   * @returns the progress of the change at that time.
   */
  async waitUntilAccepted(
    version: number,
    timeoutMs: number = ACCEPTANCE_TIMEOUT_MS,
  ): Promise<ChangeProgress> {
    const { clock, quorum } = this.#dependencies;
    const startedAt = clock.getNow();
    let lastReadAt = startedAt;
    while (quorum.getAcceptedVersion() < version && clock.getNow() < startedAt + timeoutMs) {
      await clock.wait(ACCEPTANCE_POLL_INTERVAL_MS);
      if (clock.getNow() >= lastReadAt + HEARTBEAT_READ_INTERVAL_MS) {
        lastReadAt = clock.getNow();
        await this.readHeartbeats();
      }
    }
    return quorum.getProgress(version);
  }

  /** Records the acknowledgements in the heartbeat rows of the table service. */
  async readHeartbeats(): Promise<void> {
    const rows = await this.#dependencies.heartbeats.list();
    rows?.forEach((row) => this.#dependencies.quorum.recordAcknowledgement(row));
  }

  #buildChange(
    { author, command, reason }: ChangeDraft<unknown>,
    version: number,
    mutations: readonly Mutation[],
  ): ViewChange {
    return {
      version,
      transactionId: randomUUID(),
      author,
      command,
      reason,
      at: this.#dependencies.clock.getWallTime(),
      mutations,
    };
  }
}
