import type { Clock } from '@baobabwell/utils';

import { OWNER_LAPSE_MS } from './BaobabwellDeferredConstants';

/** Knows from when on an entry that is no member any more has nothing running. */
export class OwnerWatch {
  readonly #clock: Clock;

  readonly #isMember: (owner: string) => boolean;

  readonly #goneSince = new Map<string, number>();

  constructor(clock: Clock, isMember: (owner: string) => boolean) {
    this.#clock = clock;
    this.#isMember = isMember;
  }

  /** True when nothing that the owner started can still run. */
  isReleased(owner: string): boolean {
    if (this.#isMember(owner)) {
      this.#goneSince.delete(owner);
      return false;
    }
    const goneSince = this.#goneSince.get(owner) ?? this.#clock.getNow();
    this.#goneSince.set(owner, goneSince);
    return this.#clock.getNow() - goneSince >= OWNER_LAPSE_MS;
  }
}
