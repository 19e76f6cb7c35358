import type { Clock } from '@baobabwell/utils';

import { OWNER_RELEASE_DELAY_MS } from './BaobabwellDeferredConstants';

/** Determines when no work of an owner that is no longer a member can still be running. */
export class OwnerTracker {
  readonly #clock: Clock;

  readonly #isMember: (owner: string) => boolean;

  readonly #absentSince = new Map<string, number>();

  constructor(clock: Clock, isMember: (owner: string) => boolean) {
    this.#clock = clock;
    this.#isMember = isMember;
  }

  /** Returns whether no work that the owner started can still be running. */
  isReleased(owner: string): boolean {
    if (this.#isMember(owner)) {
      this.#absentSince.delete(owner);
      return false;
    }
    const absentSince = this.#absentSince.get(owner) ?? this.#clock.getNow();
    this.#absentSince.set(owner, absentSince);
    return this.#clock.getNow() - absentSince >= OWNER_RELEASE_DELAY_MS;
  }
}
