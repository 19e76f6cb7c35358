import type { Fence, FleetView } from '@baobabwell/model';
import type { Clock } from '@baobabwell/utils';
import type { MemberIncarnation, ViewQuorum, ViewStore } from '@baobabwell/view';

import { EntityKind } from '@baobabwell/model';

import { getFenceId, isMember } from './BaobabwellMembershipChanges';
import { FENCE_LEASE_MS } from './BaobabwellMembershipConstants';

/** What may be done with the holdings of a life. */
export enum LifeState {
  /** A member: what it holds is its own. */
  Member = 'member',
  /** Fenced, but work that it started may still run. */
  Fenced = 'fenced',
  /** Fenced, and nothing that it started still runs: others may take what it held. */
  Released = 'released',
  /** Neither a member nor fenced, as far as this entry's view goes. */
  Unknown = 'unknown',
}

/** A fenced life. */
export type FencedLife = {
  readonly member: string;
  readonly incarnation: string;
  /**
   * Monotonic time of this process from which others may take what the life held; `null` while
   * the fence is not yet in force.
   */
  readonly releasedAt: number | null;
  /** True when the life gave back all its permits before it left. */
  readonly holdsNothing: boolean;
};

/** What the tracker works with. */
export type FenceTrackerParts = {
  readonly store: ViewStore;
  readonly quorum: ViewQuorum;
  readonly clock: Clock;
  /** Told when a fence enters the view. */
  readonly onFenced: (life: MemberIncarnation) => void;
  /** Told once when others may take what a fenced life held. */
  readonly onReleased: (life: MemberIncarnation) => void;
};

type TrackedFence = {
  readonly life: MemberIncarnation;
  /** Version of the change that fenced the life. */
  readonly version: number;
  readonly holdsNothing: boolean;
  releasedAt: number | null;
  isReported: boolean;
};

/**
 * Knows from when on a fenced life can no longer do anything: its fence is in force, so that it
 * starts nothing new, and then one lease has passed, so that nothing old still runs. Every entry
 * counts by its own clock, from the moment at which it knows.
 */
export class FenceTracker {
  readonly #parts: FenceTrackerParts;

  readonly #fences = new Map<string, TrackedFence>();

  constructor(parts: FenceTrackerParts) {
    this.#parts = parts;
    parts.store.registerListener(({ current, change }) => {
      change.mutations.forEach((mutation) => {
        if (mutation.kind === EntityKind.Fence) {
          this.#applyFence(mutation.id, mutation.value, current);
        }
      });
    });
  }

  /** Lists all fenced lives. */
  listFenced(): readonly FencedLife[] {
    return [...this.#fences.values()].map(({ life, releasedAt, holdsNothing }) => ({
      member: life.id,
      incarnation: life.incarnation,
      releasedAt,
      holdsNothing,
    }));
  }

  /** Gets what may be done with the holdings of a life. */
  getState(life: MemberIncarnation): LifeState {
    const fence = this.#fences.get(getFenceId(life));
    if (fence !== undefined) {
      return this.#isReleased(fence) ? LifeState.Released : LifeState.Fenced;
    }
    return isMember(this.#parts.store.get(), life) ? LifeState.Member : LifeState.Unknown;
  }

  /** Looks which fences are in force and which lives are released. */
  update(): void {
    const { quorum, clock, onReleased } = this.#parts;
    const inForceVersion = quorum.getInForceVersion();
    this.#fences.forEach((fence) => {
      if (fence.releasedAt === null && fence.version <= inForceVersion) {
        Object.assign(fence, { releasedAt: clock.getNow() + FENCE_LEASE_MS });
      }
      if (!fence.isReported && this.#isReleased(fence)) {
        Object.assign(fence, { isReported: true });
        onReleased(fence.life);
      }
    });
  }

  #isReleased({ releasedAt }: TrackedFence): boolean {
    return releasedAt !== null && releasedAt <= this.#parts.clock.getNow();
  }

  #applyFence(id: string, fence: Fence | null, { version }: FleetView): void {
    if (fence === null) {
      this.#fences.delete(id);
      return;
    }
    const life = { id: fence.member, incarnation: fence.incarnation };
    const { holdsNothing } = fence;
    this.#fences.set(id, { life, version, holdsNothing, releasedAt: null, isReported: false });
    this.#parts.onFenced(life);
  }
}
