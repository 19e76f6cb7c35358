import type { FenceTracker } from '@baobabwell/membership';
import type { Clock } from '@baobabwell/utils';

import { getMemberKey } from './BaobabwellPermitsMembership';

/** Determines which removed members may still have running work. */
export abstract class FenceClock {
  /** Records that a member left gracefully, with no work running. */
  abstract recordDeparture(member: string): void;

  /** Lists the removed members whose work may still run. */
  abstract listPending(): readonly string[];

  /** Returns whether no work of a removed member can still run. */
  isExpired(member: string): boolean {
    return !this.listPending().includes(member);
  }
}

/** Reads removed members and the ends of their fences from the tracker that follows the view. */
export class MembershipFenceClock extends FenceClock {
  readonly #tracker: FenceTracker;

  readonly #clock: Clock;

  readonly #departed = new Set<string>();

  constructor(tracker: FenceTracker, clock: Clock) {
    super();
    this.#tracker = tracker;
    this.#clock = clock;
  }

  override recordDeparture(member: string): void {
    this.#departed.add(member);
  }

  override listPending(): readonly string[] {
    const now = this.#clock.getNow();
    return this.#tracker
      .listFenced()
      .filter(({ holdsNothing }) => !holdsNothing)
      .filter(({ releasedAt }) => releasedAt === null || releasedAt > now)
      .map(({ member, incarnation }) => getMemberKey({ id: member, incarnation }))
      .filter((member) => !this.#departed.has(member));
  }
}
