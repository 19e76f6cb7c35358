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
  ACCEPTANCE_READ_INTERVAL_MS,
  ACCEPTANCE_WAIT_MS,
  COMMIT_ATTEMPTS,
} from './BaobabwellViewConstants';

const ACCEPTANCE_POLL_MS = 5;

/** A change before it has a version. */
export type ChangeDraft<Refusal> = {
  readonly author: string;
  readonly command: string;
  readonly reason: string;
  /** Decides the mutations from the newest view; called again when other changes come first. */
  readonly build: (view: FleetView) => Result<readonly Mutation[], Refusal>;
};

/** Why a change was not, or may not have been, made. */
export type ChangeError<Refusal> =
  | { readonly kind: 'refused'; readonly refusal: Refusal }
  | { readonly kind: 'unavailable'; readonly cause: string }
  | { readonly kind: 'unknown'; readonly transactionId: string };

/** Receives a change right after this entry committed it. */
export type CommitListener = (change: ViewChange, position: LogPosition) => void;

/** What the writer works with. */
export type ViewWriterParts = {
  readonly log: ViewLog;
  readonly store: ViewStore;
  readonly follower: ViewFollower;
  readonly quorum: ViewQuorum;
  readonly heartbeats: HeartbeatRows;
  readonly clock: Clock;
  readonly onCommit: CommitListener;
};

function isOutcome(
  error: LogError,
): error is Exclude<LogError, { kind: 'overtaken' | 'abandoned' }> {
  return error.kind !== 'overtaken' && error.kind !== 'abandoned';
}

/** Makes changes: decides on the newest view and commits only if nothing came in between. */
export class ViewWriter {
  readonly #parts: ViewWriterParts;

  constructor(parts: ViewWriterParts) {
    this.#parts = parts;
  }

  /**
   * Commits a change, or says why it could not be committed. A committed change is not yet
   * accepted; {@link waitAccepted} tells.
   */
  async write<Refusal>(
    draft: ChangeDraft<Refusal>,
  ): Promise<Result<ViewChange, ChangeError<Refusal>>> {
    const { log, store, follower, onCommit } = this.#parts;
    for (let attempt = 0; attempt < COMMIT_ATTEMPTS; attempt += 1) {
      if (!(await follower.read())) {
        return createError({ kind: 'unavailable', cause: 'the log could not be read' });
      }
      const view = store.get();
      const position = follower.getPosition();
      if (view.version !== position.viewVersion) {
        // A peer told of a newer change than the log did: read on.
        continue;
      }
      const mutations = draft.build(view);
      if (!mutations.ok) {
        return createError({ kind: 'refused', refusal: mutations.error });
      }
      const change = this.#buildChange(draft, view.version + 1, mutations.value);
      const appended = await log.append(position, change);
      if (appended.ok) {
        follower.recordAppended(appended.value);
        store.apply(change);
        onCommit(change, appended.value);
        return createOk(change);
      }
      if (isOutcome(appended.error)) {
        return createError(appended.error);
      }
    }
    return createError({ kind: 'unavailable', cause: 'other changes kept coming first' });
  }

  /**
   * Waits until a committed change is accepted, for as long as an operator should wait.
   *
   * @returns how far the change has come by then.
   */
  async waitAccepted(
    version: number,
    limitMs: number = ACCEPTANCE_WAIT_MS,
  ): Promise<ChangeProgress> {
    const { clock, quorum } = this.#parts;
    const startedAt = clock.getNow();
    let readAt = startedAt;
    while (quorum.getAcceptedVersion() < version && clock.getNow() < startedAt + limitMs) {
      await clock.wait(ACCEPTANCE_POLL_MS);
      if (clock.getNow() >= readAt + ACCEPTANCE_READ_INTERVAL_MS) {
        readAt = clock.getNow();
        await this.readHeartbeats();
      }
    }
    return quorum.getProgress(version);
  }

  /** Takes the acknowledgements that stand in the table service into account. */
  async readHeartbeats(): Promise<void> {
    const rows = await this.#parts.heartbeats.list();
    rows?.forEach((row) => this.#parts.quorum.recordAcknowledgement(row));
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
      at: this.#parts.clock.getWallTime(),
      mutations,
    };
  }
}
