import type { ViewFollower } from './BaobabwellViewFollower';
import type { ViewLog } from './BaobabwellViewLog';
import type { ViewStore } from './BaobabwellViewStore';
import type { FleetView, Mutation, ViewChange } from '@baobabwell/model';
import type { Clock, Result } from '@baobabwell/utils';

import { randomUUID } from 'node:crypto';

import { createError, createOk } from '@baobabwell/utils';

import { COMMIT_ATTEMPTS } from './BaobabwellViewConstants';

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
export type CommitListener = (change: ViewChange) => void;

/** Makes changes: decides on the newest view and commits only if nothing came in between. */
export class ViewWriter {
  readonly #log: ViewLog;

  readonly #store: ViewStore;

  readonly #follower: ViewFollower;

  readonly #clock: Clock;

  readonly #onCommit: CommitListener;

  constructor(parts: {
    readonly log: ViewLog;
    readonly store: ViewStore;
    readonly follower: ViewFollower;
    readonly clock: Clock;
    readonly onCommit: CommitListener;
  }) {
    this.#log = parts.log;
    this.#store = parts.store;
    this.#follower = parts.follower;
    this.#clock = parts.clock;
    this.#onCommit = parts.onCommit;
  }

  /** Commits a change, or says why it could not be committed. */
  async write<Refusal>(
    draft: ChangeDraft<Refusal>,
  ): Promise<Result<ViewChange, ChangeError<Refusal>>> {
    for (let attempt = 0; attempt < COMMIT_ATTEMPTS; attempt += 1) {
      if (!(await this.#follower.read())) {
        return createError({ kind: 'unavailable', cause: 'the log could not be read' });
      }
      const view = this.#store.get();
      const mutations = draft.build(view);
      if (!mutations.ok) {
        return createError({ kind: 'refused', refusal: mutations.error });
      }
      const change = this.#buildChange(draft, view.version + 1, mutations.value);
      const position = this.#follower.getPosition();
      const appended = await this.#log.append(position, change);
      if (appended.ok) {
        this.#follower.recordAppended(appended.value);
        this.#store.apply(change);
        this.#onCommit(change);
        return createOk(change);
      }
      if (appended.error.kind !== 'overtaken') {
        return createError(appended.error);
      }
    }
    return createError({ kind: 'unavailable', cause: 'other changes kept coming first' });
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
      at: this.#clock.getWallTime(),
      mutations,
    };
  }
}
