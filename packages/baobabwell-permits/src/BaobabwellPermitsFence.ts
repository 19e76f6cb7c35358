import type { PendingFence } from './BaobabwellPermits';
import type { Clock } from '@baobabwell/utils';

/** Stands for every member that was removed before this entry joined. */
export const EARLIER_MEMBERS = 'earlier-members';

/** Knows when nothing that a removed member started can still run. */
export abstract class FenceClock {
  /** Records that a member was removed from the view. */
  abstract recordRemoved(member: string): void;

  /** Records that a member left in good order, with nothing running. */
  abstract recordLeft(member: string): void;

  /** Records that more than half of the members know every removal recorded so far. */
  abstract recordMajority(): void;

  /** True once nothing of the member can still run. */
  abstract isOver(member: string): boolean;

  /** The fences that are not over. */
  abstract listPending(): readonly PendingFence[];

  /** Whether {@link listPending} names every member whose work may still run. */
  abstract isComplete(): boolean;

  /** Adopts the fences of an entry whose list is complete. */
  abstract adopt(fences: readonly PendingFence[]): void;
}

/**
 * Counts a fence from the moment at which a majority knows of the removal: until then the
 * removed member may be confirmed as current by members that do not know it.
 */
export class MajorityFenceClock extends FenceClock {
  readonly #clock: Clock;

  readonly #durationMs: number;

  /** Monotonic time at which each fence is over; `null` until a majority knows of the removal. */
  readonly #endsAt = new Map<string, number | null>();

  readonly #left = new Set<string>();

  #isComplete: boolean;

  /**
   * @param durationMs freshness bound plus the longest time for which work outlives it.
   * @param isFirst whether no member can have existed before this entry.
   */
  constructor(clock: Clock, durationMs: number, isFirst: boolean) {
    super();
    this.#clock = clock;
    this.#durationMs = durationMs;
    this.#isComplete = isFirst;
    if (!isFirst) {
      this.#endsAt.set(EARLIER_MEMBERS, null);
    }
  }

  override recordRemoved(member: string): void {
    if (!this.#left.delete(member)) {
      this.#endsAt.set(member, null);
    }
  }

  override recordLeft(member: string): void {
    this.#left.add(member);
  }

  override recordMajority(): void {
    const endsAt = this.#clock.getNow() + this.#durationMs;
    this.#endsAt.forEach((known, member) => this.#endsAt.set(member, known ?? endsAt));
  }

  override isOver(member: string): boolean {
    const endsAt = this.#endsAt.get(member);
    return endsAt === undefined || (endsAt !== null && endsAt <= this.#clock.getNow());
  }

  override listPending(): readonly PendingFence[] {
    const now = this.#clock.getNow();
    return [...this.#endsAt.entries()]
      .filter(([member]) => !this.isOver(member))
      .map(([member, endsAt]) => ({
        member,
        remainingMs: endsAt === null ? null : endsAt - now,
      }));
  }

  override isComplete(): boolean {
    return this.#isComplete || this.isOver(EARLIER_MEMBERS);
  }

  override adopt(fences: readonly PendingFence[]): void {
    const now = this.#clock.getNow();
    const remaining = new Map(fences.map(({ member, remainingMs }) => [member, remainingMs]));
    this.#endsAt.forEach((_, member) => {
      if (!remaining.has(member)) {
        this.#endsAt.delete(member);
      }
    });
    remaining.forEach((remainingMs, member) => {
      const own = this.#endsAt.get(member) ?? null;
      this.#endsAt.set(member, remainingMs === null ? own : now + remainingMs);
    });
    this.#isComplete = true;
  }
}
