import type { FreshnessTracker } from './BaobabwellViewFreshness';
import type { ViewStore } from './BaobabwellViewStore';
import type { Member } from '@baobabwell/model';
import type { Clock } from '@baobabwell/utils';

import { EntityKind } from '@baobabwell/model';

import {
  FRESHNESS_BOUND_MS,
  SMALLEST_QUORUM_FLEET,
  UNREACHABLE_AFTER_MS,
} from './BaobabwellViewConstants';

/** One life of an entry. */
export type MemberLife = {
  readonly id: string;
  readonly incarnation: string;
};

/** How far a life of an entry has applied the log. */
export type Acknowledgement = MemberLife & { readonly version: number };

/** How far a change has come. */
export enum ChangeStage {
  /** In the table service, but not yet with a majority of the members. */
  Pending = 'pending',
  /** A majority of the members has it: it can no longer be forgotten. */
  Accepted = 'accepted',
  /** No entry starts work without knowing it. */
  InForce = 'in-force',
}

/** How far a change has come, and who has not acknowledged it. */
export type ChangeProgress = {
  readonly stage: ChangeStage;
  readonly missing: readonly string[];
};

/** What the quorum works with. */
export type ViewQuorumParts = {
  readonly store: ViewStore;
  readonly freshness: FreshnessTracker;
  readonly clock: Clock;
  /** This life of this entry; read anew at each use. */
  readonly self: MemberLife;
};

type Answer = {
  readonly version: number;
  /** When the newest answered request was sent, by the clock of this process. */
  readonly sentAt: number;
};

type Acceptance = {
  readonly version: number;
  readonly at: number;
};

/** Number of members that makes a majority of a fleet. */
export function getMajority(memberCount: number): number {
  return memberCount === 0 ? 0 : Math.floor(memberCount / 2) + 1;
}

function getNthLargest(values: readonly number[], position: number): number {
  return values.toSorted((a, b) => b - a)[position - 1] ?? Number.POSITIVE_INFINITY;
}

/**
 * Knows which members have applied what. From that follow two things: the view is confirmed
 * when a majority answered and none of that majority holds more than this entry; and a change
 * is accepted when a majority holds it. Any two such majorities share a member, because
 * membership changes one entry at a time and only after the last such change was accepted.
 */
export class ViewQuorum {
  readonly #parts: ViewQuorumParts;

  readonly #answers = new Map<string, Answer>();

  /** Newest answer at the address of each entry, of whichever life. */
  readonly #heard = new Map<string, Answer>();

  readonly #knownSince = new Map<string, number>();

  #members: readonly Member[] = [];

  #membershipVersion = 0;

  #accepted: Acceptance[] = [];

  #acceptedVersion = 0;

  #inForceVersion = 0;

  constructor(parts: ViewQuorumParts) {
    this.#parts = parts;
    parts.store.registerListener(({ current, change }) => {
      if (change.mutations.some(({ kind }) => kind === EntityKind.Member)) {
        this.#membershipVersion = current.version;
        this.#members = current.list(EntityKind.Member);
        this.#updateKnownLives();
      }
      this.#update();
    });
  }

  /** Records the answer to a request of this process. */
  recordAnswer(answer: Acknowledgement, sentAt: number): void {
    this.#heard.set(answer.id, { version: answer.version, sentAt });
    this.#record(answer, sentAt);
  }

  /** Records an acknowledgement that says nothing of when it was given. */
  recordAcknowledgement(acknowledgement: Acknowledgement): void {
    this.#record(acknowledgement, Number.NEGATIVE_INFINITY);
  }

  /** Version of the last change that concerned a member. */
  getMembershipVersion(): number {
    return this.#membershipVersion;
  }

  /** Newest version known to be accepted. */
  getAcceptedVersion(): number {
    return this.#acceptedVersion;
  }

  /** Newest version known to be in force. */
  getInForceVersion(): number {
    const now = this.#parts.clock.getNow();
    const settled = this.#accepted.filter(({ at }) => at + FRESHNESS_BOUND_MS <= now).at(-1);
    if (settled !== undefined) {
      this.#inForceVersion = settled.version;
      this.#accepted = this.#accepted.filter(({ version }) => version > settled.version);
    }
    // An entry that was removed may go on for a while unasked: then only time counts.
    return this.#membershipVersion <= this.#inForceVersion
      ? Math.max(this.#inForceVersion, Math.min(this.#acceptedVersion, this.#getHeldByAll()))
      : this.#inForceVersion;
  }

  /** True when the last change of the membership was accepted, so that the next may follow. */
  isMembershipAccepted(): boolean {
    return this.#acceptedVersion >= this.#membershipVersion;
  }

  /**
   * True when this process heard, at the addresses of a majority of the members, of no change that
   * it lacks. A new process has to know this before it changes anything: the log may have been
   * restored from an older copy, which it cannot see by itself.
   */
  isMajorityHeard(): boolean {
    const ownVersion = this.#parts.store.get().version;
    const heard = this.#members.filter(
      ({ id }) =>
        id === this.#parts.self.id ||
        (this.#heard.get(id)?.version ?? Number.POSITIVE_INFINITY) <= ownVersion,
    );
    return heard.length >= getMajority(this.#members.length);
  }

  /** Gets how far the change with a version has come. */
  getProgress(version: number): ChangeProgress {
    const stage = this.#getStage(version);
    return { stage, missing: stage === ChangeStage.InForce ? [] : this.listMissing(version) };
  }

  /** Lists the members that have not acknowledged a version. */
  listMissing(version: number): readonly string[] {
    return this.#members.filter((member) => this.#getVersion(member) < version).map(({ id }) => id);
  }

  /** Lists the members that have not answered this process for some time. */
  listUnreachable(): readonly string[] {
    const limit = this.#parts.clock.getNow() - UNREACHABLE_AFTER_MS;
    return this.#members
      .filter((member) => !this.#isSelf(member) && this.#getHeardAt(member) < limit)
      .map(({ id }) => id);
  }

  #record({ id, incarnation, version }: Acknowledgement, sentAt: number): void {
    const key = `${id}/${incarnation}`;
    const known = this.#answers.get(key);
    this.#answers.set(key, {
      version: Math.max(version, known?.version ?? 0),
      sentAt: Math.max(sentAt, known?.sentAt ?? Number.NEGATIVE_INFINITY),
    });
    this.#update();
  }

  #update(): void {
    this.#updateFreshness();
    this.#updateAcceptance();
  }

  #updateFreshness(): void {
    const members = this.#members;
    if (members.length < SMALLEST_QUORUM_FLEET) {
      return;
    }
    const ownVersion = this.#parts.store.get().version;
    const confirmedAt = members
      .filter((member) => this.#getVersion(member) <= ownVersion)
      .map((member) => this.#getSentAt(member));
    const at = getNthLargest(confirmedAt, getMajority(members.length));
    if (Number.isFinite(at)) {
      this.#parts.freshness.recordConfirmation(at);
    }
  }

  #updateAcceptance(): void {
    const members = this.#members;
    const ownVersion = this.#parts.store.get().version;
    const versions = members.map((member) => this.#getVersion(member));
    const held = getNthLargest(versions, getMajority(members.length));
    const version = Math.min(held, ownVersion);
    // Members are counted as they are now, which is right only from their last change on.
    if (version >= this.#membershipVersion && version > this.#acceptedVersion) {
      this.#acceptedVersion = version;
      this.#accepted.push({ version, at: this.#parts.clock.getNow() });
      this.getInForceVersion();
    }
  }

  #updateKnownLives(): void {
    const now = this.#parts.clock.getNow();
    const keys = new Set(this.#members.map(({ id, incarnation }) => `${id}/${incarnation}`));
    keys.forEach((key) => {
      this.#knownSince.set(key, this.#knownSince.get(key) ?? now);
    });
    this.#knownSince.forEach((_since, key) => {
      if (!keys.has(key)) {
        this.#knownSince.delete(key);
        this.#answers.delete(key);
      }
    });
  }

  #getStage(version: number): ChangeStage {
    if (version <= this.getInForceVersion()) {
      return ChangeStage.InForce;
    }
    return version <= this.#acceptedVersion ? ChangeStage.Accepted : ChangeStage.Pending;
  }

  #getHeldByAll(): number {
    return Math.min(...this.#members.map((member) => this.#getVersion(member)));
  }

  #isSelf({ id, incarnation }: MemberLife): boolean {
    const { self } = this.#parts;
    return id === self.id && incarnation === self.incarnation;
  }

  #getVersion(member: Member): number {
    return this.#isSelf(member)
      ? this.#parts.store.get().version
      : (this.#answers.get(`${member.id}/${member.incarnation}`)?.version ?? 0);
  }

  #getSentAt(member: Member): number {
    return this.#isSelf(member)
      ? this.#parts.clock.getNow()
      : (this.#answers.get(`${member.id}/${member.incarnation}`)?.sentAt ??
          Number.NEGATIVE_INFINITY);
  }

  #getHeardAt({ id, incarnation }: Member): number {
    const key = `${id}/${incarnation}`;
    const since = this.#knownSince.get(key) ?? Number.NEGATIVE_INFINITY;
    return Math.max(since, this.#answers.get(key)?.sentAt ?? since);
  }
}
