import type { FreshnessTracker } from './BaobabwellViewFreshness';
import type { ViewStore } from './BaobabwellViewStore';
import type { Member } from '@baobabwell/model';
import type { Clock } from '@baobabwell/utils';

import { EntityKind } from '@baobabwell/model';

import {
  FRESHNESS_BOUND_MS,
  MIN_QUORUM_MEMBERS,
  UNREACHABLE_AFTER_MS,
} from './BaobabwellViewConstants';

/** One incarnation of an entry. A process that was fenced continues as a new incarnation. */
export type MemberIncarnation = {
  readonly id: string;
  readonly incarnation: string;
};

/** Version up to which an incarnation of an entry has applied the log. */
export type Acknowledgement = MemberIncarnation & { readonly version: number };

/** Stage of a committed change on its way to all members. */
export enum ChangeStage {
  /** The change is in the table service, but a majority of the members has not applied it yet. */
  Pending = 'pending',
  /** A majority of the members has applied the change, so it can no longer be lost. */
  Accepted = 'accepted',
  /** No entry starts work without having applied the change. */
  InForce = 'in-force',
}

/** Stage of a change and the members that have not acknowledged it. */
export type ChangeProgress = {
  readonly stage: ChangeStage;
  readonly missing: readonly string[];
};

/** Dependencies of {@link ViewQuorum}. */
export type ViewQuorumDependencies = {
  readonly store: ViewStore;
  readonly freshness: FreshnessTracker;
  readonly clock: Clock;
  /** Current incarnation of this entry; its properties are read at each use. */
  readonly self: MemberIncarnation;
};

type Answer = {
  readonly version: number;
  /** Monotonic time of this process at which the newest answered request was sent. */
  readonly sentAt: number;
};

type Acceptance = {
  readonly version: number;
  readonly acceptedAt: number;
};

/** Returns the number of members that form a majority of a fleet. */
export function getMajority(memberCount: number): number {
  return memberCount === 0 ? 0 : Math.floor(memberCount / 2) + 1;
}

function getNthLargest(values: readonly number[], position: number): number {
  return values.toSorted((a, b) => b - a)[position - 1] ?? Number.POSITIVE_INFINITY;
}

/**
 * Tracks which version of the view each member has applied. The view is confirmed when a majority
 * answered and no member of that majority has a newer version than this entry. A change is accepted
 * when a majority has applied it. Any two such majorities share a member, because the membership
 * changes by one entry at a time and only after the previous membership change was accepted.
 */
export class ViewQuorum {
  readonly #dependencies: ViewQuorumDependencies;

  readonly #answersByIncarnation = new Map<string, Answer>();

  /** Newest answer from the address of each entry, whatever its incarnation. */
  readonly #answersById = new Map<string, Answer>();

  /** Monotonic time at which each incarnation was first observed among the members. */
  readonly #memberSince = new Map<string, number>();

  #members: readonly Member[] = [];

  #membershipVersion = 0;

  /** Accepted versions that are not known to be in force yet. */
  #recentAcceptances: Acceptance[] = [];

  #acceptedVersion = 0;

  #inForceVersion = 0;

  constructor(dependencies: ViewQuorumDependencies) {
    this.#dependencies = dependencies;
    dependencies.store.registerListener(({ current, change }) => {
      if (change.mutations.some(({ kind }) => kind === EntityKind.Member)) {
        this.#membershipVersion = current.version;
        this.#members = current.list(EntityKind.Member);
        this.#updateMemberIncarnations();
      }
      this.#update();
    });
  }

  /** Records an answer to a request that this process sent. */
  recordAnswer(answer: Acknowledgement, sentAt: number): void {
    this.#answersById.set(answer.id, { version: answer.version, sentAt });
    this.#record(answer, sentAt);
  }

  /** Records an acknowledgement whose time is unknown. */
  recordAcknowledgement(acknowledgement: Acknowledgement): void {
    this.#record(acknowledgement, Number.NEGATIVE_INFINITY);
  }

  /** Returns the version of the last change of the membership. */
  getMembershipVersion(): number {
    return this.#membershipVersion;
  }

  /** Returns the newest version known to be accepted. */
  getAcceptedVersion(): number {
    return this.#acceptedVersion;
  }

  /** Returns the newest version known to be in force. */
  getInForceVersion(): number {
    const now = this.#dependencies.clock.getNow();
    const newest = this.#recentAcceptances
      .filter(({ acceptedAt }) => acceptedAt + FRESHNESS_BOUND_MS <= now)
      .at(-1);
    if (newest !== undefined) {
      this.#inForceVersion = newest.version;
      this.#recentAcceptances = this.#recentAcceptances.filter(
        ({ version }) => version > newest.version,
      );
    }
    // A removed entry is not among the members but may start work until its view expires. Until the
    // last membership change is in force, only elapsed time counts, not acknowledgements.
    return this.#membershipVersion <= this.#inForceVersion
      ? Math.max(this.#inForceVersion, Math.min(this.#acceptedVersion, this.#getMinMemberVersion()))
      : this.#inForceVersion;
  }

  /** Returns whether the last membership change was accepted, so that the next one may follow. */
  isMembershipAccepted(): boolean {
    return this.#acceptedVersion >= this.#membershipVersion;
  }

  /**
   * Returns whether a majority of the members, by address and including this entry, reported no
   * version newer than that of this process. A new process requires this before it changes
   * anything: the log may have been restored from an older copy, which it cannot detect alone.
   */
  isUpToDateWithMajority(): boolean {
    const ownVersion = this.#dependencies.store.get().version;
    const upToDate = this.#members.filter(
      ({ id }) =>
        id === this.#dependencies.self.id ||
        (this.#answersById.get(id)?.version ?? Number.POSITIVE_INFINITY) <= ownVersion,
    );
    return upToDate.length >= getMajority(this.#members.length);
  }

  /** Returns the progress of the change with a version. */
  getProgress(version: number): ChangeProgress {
    const stage = this.#getStage(version);
    return { stage, missing: stage === ChangeStage.InForce ? [] : this.listMissing(version) };
  }

  /** Lists the members that have not acknowledged a version. */
  listMissing(version: number): readonly string[] {
    return this.#members.filter((member) => this.#getVersion(member) < version).map(({ id }) => id);
  }

  /** Lists the members that have not answered this process for {@link UNREACHABLE_AFTER_MS}. */
  listUnreachable(): readonly string[] {
    const cutoff = this.#dependencies.clock.getNow() - UNREACHABLE_AFTER_MS;
    return this.#members
      .filter((member) => !this.#isSelf(member) && this.#getLastContactAt(member) < cutoff)
      .map(({ id }) => id);
  }

  #record({ id, incarnation, version }: Acknowledgement, sentAt: number): void {
    const key = `${id}/${incarnation}`;
    const previous = this.#answersByIncarnation.get(key);
    this.#answersByIncarnation.set(key, {
      version: Math.max(version, previous?.version ?? 0),
      sentAt: Math.max(sentAt, previous?.sentAt ?? Number.NEGATIVE_INFINITY),
    });
    this.#update();
  }

  #update(): void {
    this.#updateFreshness();
    this.#updateAcceptance();
  }

  #updateFreshness(): void {
    const members = this.#members;
    if (members.length < MIN_QUORUM_MEMBERS) {
      return;
    }
    const ownVersion = this.#dependencies.store.get().version;
    const confirmedAt = members
      .filter((member) => this.#getVersion(member) <= ownVersion)
      .map((member) => this.#getSentAt(member));
    const at = getNthLargest(confirmedAt, getMajority(members.length));
    if (Number.isFinite(at)) {
      this.#dependencies.freshness.recordConfirmation(at);
    }
  }

  #updateAcceptance(): void {
    const members = this.#members;
    const ownVersion = this.#dependencies.store.get().version;
    const versions = members.map((member) => this.#getVersion(member));
    const majorityVersion = getNthLargest(versions, getMajority(members.length));
    const version = Math.min(majorityVersion, ownVersion);
    // The count uses the current members, so it is valid only from the last membership change on.
    if (version >= this.#membershipVersion && version > this.#acceptedVersion) {
      this.#acceptedVersion = version;
      this.#recentAcceptances.push({ version, acceptedAt: this.#dependencies.clock.getNow() });
      this.getInForceVersion();
    }
  }

  #updateMemberIncarnations(): void {
    const now = this.#dependencies.clock.getNow();
    const keys = new Set(this.#members.map(({ id, incarnation }) => `${id}/${incarnation}`));
    keys.forEach((key) => {
      this.#memberSince.set(key, this.#memberSince.get(key) ?? now);
    });
    this.#memberSince.forEach((_joinedAt, key) => {
      if (!keys.has(key)) {
        this.#memberSince.delete(key);
        this.#answersByIncarnation.delete(key);
      }
    });
  }

  #getStage(version: number): ChangeStage {
    if (version <= this.getInForceVersion()) {
      return ChangeStage.InForce;
    }
    return version <= this.#acceptedVersion ? ChangeStage.Accepted : ChangeStage.Pending;
  }

  #getMinMemberVersion(): number {
    return Math.min(...this.#members.map((member) => this.#getVersion(member)));
  }

  #isSelf({ id, incarnation }: MemberIncarnation): boolean {
    const { self } = this.#dependencies;
    return id === self.id && incarnation === self.incarnation;
  }

  #getVersion(member: Member): number {
    return this.#isSelf(member)
      ? this.#dependencies.store.get().version
      : (this.#answersByIncarnation.get(`${member.id}/${member.incarnation}`)?.version ?? 0);
  }

  #getSentAt(member: Member): number {
    return this.#isSelf(member)
      ? this.#dependencies.clock.getNow()
      : (this.#answersByIncarnation.get(`${member.id}/${member.incarnation}`)?.sentAt ??
          Number.NEGATIVE_INFINITY);
  }

  #getLastContactAt({ id, incarnation }: Member): number {
    const key = `${id}/${incarnation}`;
    const since = this.#memberSince.get(key) ?? Number.NEGATIVE_INFINITY;
    return Math.max(since, this.#answersByIncarnation.get(key)?.sentAt ?? since);
  }
}
