import type { MemberIdentity } from './BaobabwellMembershipIdentity';
import type { FleetView, Member, Mutation } from '@baobabwell/model';
import type { Clock, Result } from '@baobabwell/utils';
import type { ChangeError, ViewQuorum, ViewWriter } from '@baobabwell/view';

import { createPut, EntityKind } from '@baobabwell/model';
import { createError, createOk } from '@baobabwell/utils';

import { buildFence, buildFenceRemovals, isMember } from './BaobabwellMembershipChanges';
import { JOIN_RETRY_MS } from './BaobabwellMembershipConstants';

/** Why a change of the membership was not made. */
export type MembershipRefusal =
  /** Nothing is left to do. */
  | { readonly kind: 'done' }
  /** The change before this one is not accepted yet. */
  | { readonly kind: 'membership-pending'; readonly missing: readonly string[] }
  /** This new process has not heard a majority of the members yet. */
  | { readonly kind: 'majority-unheard' };

/** How sure it is that a member no longer serves. */
export enum FenceEvidence {
  /** A majority cannot reach it; it may still run. */
  Suspicion = 'suspicion',
  /** Its host is gone, or an operator says so. */
  Outside = 'outside',
}

/** What the service works with. */
export type MembershipServiceParts = {
  readonly writer: ViewWriter;
  readonly quorum: ViewQuorum;
  readonly clock: Clock;
  readonly identity: MemberIdentity;
  /** Where this entry is and how peers reach it. */
  readonly location: Pick<Member, 'dataCentre' | 'peerAddress'>;
  /** Builds what the log of a new fleet begins with. */
  readonly buildInitialFleet: (wallTime: number) => readonly Mutation[];
  /** Whether this entry has given back all its permits, asked when it leaves. */
  readonly holdsNothing: () => boolean;
  /** Told why a change was not made, whenever that is not a matter of course. */
  readonly onFailure: (command: string, error: ChangeError<MembershipRefusal>) => void;
};

type Build = (view: FleetView) => Result<readonly Mutation[], MembershipRefusal>;

const DONE: MembershipRefusal = { kind: 'done' };

const UNHEARD: MembershipRefusal = { kind: 'majority-unheard' };

function isDone(error: ChangeError<MembershipRefusal>): boolean {
  return error.kind === 'refused' && error.refusal.kind === 'done';
}

/**
 * Changes the membership one entry at a time. A member is added, or removed on suspicion, only
 * after the membership change before was accepted: then every two majorities share a member. A
 * life that is known to be over may be removed at any time, for it answers nobody.
 */
export class MembershipService {
  readonly #parts: MembershipServiceParts;

  readonly #stopped = new AbortController();

  constructor(parts: MembershipServiceParts) {
    this.#parts = parts;
  }

  /** Joins the fleet; tries until it is a member or {@link stop} is called. */
  async join(): Promise<void> {
    const { clock } = this.#parts;
    while (!this.#stopped.signal.aborted && !(await this.#tryJoin())) {
      await clock.wait(JOIN_RETRY_MS, this.#stopped.signal);
      await this.#parts.writer.readHeartbeats();
    }
  }

  /** Leaves the fleet. This life serves no more, so nothing has to be waited for. */
  async leave(): Promise<void> {
    const { identity, clock } = this.#parts;
    this.stop();
    await this.#write('leave', 'entry stopped', (view) => {
      const member = view.get(EntityKind.Member, identity.id);
      return member === null || !isMember(view, identity)
        ? createError(DONE)
        : createOk(buildFence(member, 'left', clock.getWallTime(), this.#parts.holdsNothing()));
    });
  }

  /** Gives up joining. */
  stop(): void {
    this.#stopped.abort();
  }

  /**
   * Fences members.
   *
   * @returns whether the named lives are members no longer.
   */
  async fence(lives: readonly Member[], reason: string, evidence: FenceEvidence): Promise<boolean> {
    const names = lives.map(({ id }) => id).join(' ');
    return this.#write(`fence ${names}`, reason, (view) => {
      const left = lives.filter((life) => isMember(view, life));
      if (left.length === 0) {
        return createError(DONE);
      }
      const wallTime = this.#parts.clock.getWallTime();
      const mutations = left.flatMap((life) => buildFence(life, reason, wallTime));
      return evidence === FenceEvidence.Outside
        ? createOk(mutations)
        : this.#checkAccepted(mutations);
    });
  }

  async #tryJoin(): Promise<boolean> {
    const { identity, quorum } = this.#parts;
    let isLastStep = false;
    const isWritten = await this.#write('join', 'entry started', (view) => {
      const known = view.get(EntityKind.Member, identity.id);
      isLastStep = known === null || isMember(view, identity);
      if (!quorum.isUpToDateWithMajority()) {
        return createError(UNHEARD);
      }
      return known === null ? this.#buildJoin(view) : this.#buildTakeover(view, known);
    });
    return isWritten && isLastStep;
  }

  #buildJoin(view: FleetView): Result<readonly Mutation[], MembershipRefusal> {
    const { identity, location, clock, buildInitialFleet } = this.#parts;
    const wallTime = clock.getWallTime();
    const initial = view.version === 0 ? buildInitialFleet(wallTime) : [];
    const member: Member = { id: identity.id, incarnation: identity.incarnation, ...location };
    return this.#checkAccepted([
      ...initial,
      ...buildFenceRemovals(view, wallTime),
      createPut(EntityKind.Member, member),
    ]);
  }

  /** Removes the life that this entry led before, in this process or another. */
  #buildTakeover(view: FleetView, known: Member): Result<readonly Mutation[], MembershipRefusal> {
    const { identity, location, clock } = this.#parts;
    if (isMember(view, identity)) {
      return createError(DONE);
    }
    const mutations = buildFence(known, 'replaced', clock.getWallTime());
    // Peers that ask at the address of the old life are answered by this one: it is over.
    return known.peerAddress === location.peerAddress
      ? createOk(mutations)
      : this.#checkAccepted(mutations);
  }

  #checkAccepted(mutations: readonly Mutation[]): Result<readonly Mutation[], MembershipRefusal> {
    const { quorum } = this.#parts;
    return quorum.isMembershipAccepted()
      ? createOk(mutations)
      : createError({
          kind: 'membership-pending',
          missing: quorum.listMissing(quorum.getMembershipVersion()),
        });
  }

  async #write(command: string, reason: string, build: Build): Promise<boolean> {
    const { writer, identity, onFailure } = this.#parts;
    const author = identity.id;
    const written = await writer.write<MembershipRefusal>({ author, command, reason, build });
    if (written.ok || isDone(written.error)) {
      return true;
    }
    onFailure(command, written.error);
    return false;
  }
}
