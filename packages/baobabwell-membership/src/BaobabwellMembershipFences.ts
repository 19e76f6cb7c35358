import type { Fence, FleetView } from '@baobabwell/model';
import type { Clock } from '@baobabwell/utils';
import type { MemberIncarnation, ViewQuorum, ViewStore } from '@baobabwell/view';

import { EntityKind } from '@baobabwell/model';

import { getFenceId, isMember } from './BaobabwellMembershipChanges';
import { FENCE_LEASE_MS } from './BaobabwellMembershipConstants';

/** State of an incarnation, which decides whether others may use its holdings. */
export enum IncarnationState {
  /** A member, which owns its holdings. */
  Member = 'member',
  /** Fenced, but work that it started may still run. */
  Fenced = 'fenced',
  /** Fenced, and no work that it started still runs: others may use its holdings. */
  Released = 'released',
  /** Neither a member nor fenced in this entry's view. */
  Unknown = 'unknown',
}

/** A fenced incarnation and the time of its release. */
export type FencedIncarnation = {
  readonly member: string;
  readonly incarnation: string;
  /**
   * Monotonic time of this process from which others may use the holdings of the incarnation;
   * `null` while the fence is not yet in force.
   */
  readonly releasedAt: number | null;
  /** True when the incarnation returned all its permits before it left. */
  readonly holdsNothing: boolean;
};

/** Dependencies of {@link FenceTracker}. */
export type FenceTrackerDependencies = {
  readonly store: ViewStore;
  readonly quorum: ViewQuorum;
  readonly clock: Clock;
  /** Called when a fence enters the view. */
  readonly onFenced: (member: MemberIncarnation) => void;
  /** Called once, when others may use the holdings of a fenced incarnation. */
  readonly onReleased: (member: MemberIncarnation) => void;
};

type TrackedFence = {
  readonly member: MemberIncarnation;
  /** Version of the change that fenced the incarnation. */
  readonly version: number;
  readonly holdsNothing: boolean;
  releasedAt: number | null;
  isReleaseReported: boolean;
};

/**
 * Tracks when fenced incarnations are released. Once a fence is in force, its incarnation starts no
 * work; one lease later, none of its work still runs. Every entry measures the lease by its own
 * clock, from the moment at which it observes that the fence is in force.
 */
export class FenceTracker {
  readonly #dependencies: FenceTrackerDependencies;

  readonly #fences = new Map<string, TrackedFence>();

  constructor(dependencies: FenceTrackerDependencies) {
    this.#dependencies = dependencies;
    dependencies.store.registerListener(({ current, change }) => {
      change.mutations.forEach((mutation) => {
        if (mutation.kind === EntityKind.Fence) {
          this.#applyFence(mutation.id, mutation.value, current);
        }
      });
    });
  }

  /** Lists all fenced incarnations. */
  listFenced(): readonly FencedIncarnation[] {
    return [...this.#fences.values()].map(({ member, releasedAt, holdsNothing }) => ({
      member: member.id,
      incarnation: member.incarnation,
      releasedAt,
      holdsNothing,
    }));
  }

  /** Returns the state of an incarnation. */
  getState(member: MemberIncarnation): IncarnationState {
    const fence = this.#fences.get(getFenceId(member));
    if (fence !== undefined) {
      return this.#isReleased(fence) ? IncarnationState.Released : IncarnationState.Fenced;
    }
    return isMember(this.#dependencies.store.get(), member)
      ? IncarnationState.Member
      : IncarnationState.Unknown;
  }

  /** Records which fences have come into force, and reports released incarnations. */
  update(): void {
    const { quorum, clock, onReleased } = this.#dependencies;
    const inForceVersion = quorum.getInForceVersion();
    this.#fences.forEach((fence) => {
      if (fence.releasedAt === null && fence.version <= inForceVersion) {
        Object.assign(fence, { releasedAt: clock.getNow() + FENCE_LEASE_MS });
      }
      if (!fence.isReleaseReported && this.#isReleased(fence)) {
        Object.assign(fence, { isReleaseReported: true });
        onReleased(fence.member);
      }
    });
  }

  #isReleased({ releasedAt }: TrackedFence): boolean {
    return releasedAt !== null && releasedAt <= this.#dependencies.clock.getNow();
  }

  #applyFence(id: string, fence: Fence | null, { version }: FleetView): void {
    if (fence === null) {
      this.#fences.delete(id);
      return;
    }
    const member = { id: fence.member, incarnation: fence.incarnation };
    const { holdsNothing } = fence;
    this.#fences.set(id, {
      member,
      version,
      holdsNothing,
      releasedAt: null,
      isReleaseReported: false,
    });
    this.#dependencies.onFenced(member);
  }
}
