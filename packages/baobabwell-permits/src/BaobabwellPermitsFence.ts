import type { FenceTracker } from '@baobabwell/membership';
import type { Clock } from '@baobabwell/utils';

import { getMemberKey } from './BaobabwellPermitsMembership';

/** Knows when nothing that a removed member started can still run. */
export abstract class FenceClock {
  /** Records that a member left in good order, with nothing running. */
  abstract recordLeft(member: string): void;

  /** Lists the removed members whose work may still run. */
  abstract listPending(): readonly string[];

  /** True once nothing of a removed member can still run. */
  isOver(member: string): boolean {
    return !this.listPending().includes(member);
  }
}

/** Goes by the fences of the view. */
export class MembershipFenceClock extends FenceClock {
  readonly #tracker: FenceTracker;

  readonly #clock: Clock;

  readonly #left = new Set<string>();

  constructor(tracker: FenceTracker, clock: Clock) {
    super();
    this.#tracker = tracker;
    this.#clock = clock;
  }

  override recordLeft(member: string): void {
    this.#left.add(member);
  }

  override listPending(): readonly string[] {
    const now = this.#clock.getNow();
    return this.#tracker
      .listFenced()
      .filter(({ holdsNothing }) => !holdsNothing)
      .filter(({ releasedAt }) => releasedAt === null || releasedAt > now)
      .map(({ member, incarnation }) => getMemberKey({ id: member, incarnation }))
      .filter((member) => !this.#left.has(member));
  }
}
