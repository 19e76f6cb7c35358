import type { MemberIdentity } from './BaobabwellMembershipIdentity';
import type { FleetView, Member, Mutation } from '@baobabwell/model';
import type { Clock, Result } from '@baobabwell/utils';
import type { ChangeError, ViewQuorum, ViewWriter } from '@baobabwell/view';

import { createPut, EntityKind } from '@baobabwell/model';
import { createError, createOk } from '@baobabwell/utils';

import { buildFenceMutations, buildFenceRemovals, isMember } from './BaobabwellMembershipChanges';
import { JOIN_RETRY_INTERVAL_MS } from './BaobabwellMembershipConstants';

/** Reason why a change of the membership was not made. */
export type MembershipRefusal =
  /** The change has already been made. */
  | { readonly kind: 'done' }
  /** The previous change of the membership is not accepted yet. */
  | { readonly kind: 'membership-pending'; readonly missing: readonly string[] }
  /** A majority of the members has not yet answered this new process. */
  | { readonly kind: 'majority-unheard' };

/** Evidence that a member no longer serves calls. */
export enum FenceEvidence {
  /** A majority cannot reach the member; it may still run. */
  Suspicion = 'suspicion',
  /** The host of the member was removed, or an operator confirmed that it has stopped. */
  External = 'outside',
}

/** Dependencies of {@link MembershipService}. */
export type MembershipServiceDependencies = {
  readonly writer: ViewWriter;
  readonly quorum: ViewQuorum;
  readonly clock: Clock;
  readonly identity: MemberIdentity;
  /** Data centre of this entry, and the address at which peers reach it. */
  readonly location: Pick<Member, 'dataCentre' | 'peerAddress'>;
  /** Builds the first mutations in the log of a new fleet. */
  readonly buildInitialFleet: (wallTime: number) => readonly Mutation[];
  /** Returns whether this entry has returned all its permits; called when it leaves. */
  readonly holdsNothing: () => boolean;
  /** Called with the error when a change fails, except when it has already been made. */
  readonly onFailure: (command: string, error: ChangeError<MembershipRefusal>) => void;
};

type MutationBuilder = (view: FleetView) => Result<readonly Mutation[], MembershipRefusal>;

const DONE: MembershipRefusal = { kind: 'done' };

const MAJORITY_UNHEARD: MembershipRefusal = { kind: 'majority-unheard' };

function isDone(error: ChangeError<MembershipRefusal>): boolean {
  return error.kind === 'refused' && error.refusal.kind === 'done';
}

/**
 * Changes the membership one entry at a time. A member is added, or removed on suspicion, only
 * after the previous membership change was accepted, so that every two majorities share a member.
 * An incarnation that has certainly ended may be removed at any time, because it answers no peer.
 */
export class MembershipService {
  readonly #dependencies: MembershipServiceDependencies;

  readonly #stopped = new AbortController();

  constructor(dependencies: MembershipServiceDependencies) {
    this.#dependencies = dependencies;
  }

  /** Joins the fleet; retries until this entry is a member or {@link stop} is called. */
  async join(): Promise<void> {
    const { clock } = this.#dependencies;
    while (!this.#stopped.signal.aborted && !(await this.#tryJoin())) {
      await clock.wait(JOIN_RETRY_INTERVAL_MS, this.#stopped.signal);
      await this.#dependencies.writer.readHeartbeats();
    }
  }

  /**
   * Leaves the fleet without waiting for the acceptance of earlier changes, because this
   * incarnation no longer serves calls.
   */
  async leave(): Promise<void> {
    const { identity, clock } = this.#dependencies;
    this.stop();
    await this.#write('leave', 'entry stopped', (view) => {
      const member = view.get(EntityKind.Member, identity.id);
      return member === null || !isMember(view, identity)
        ? createError(DONE)
        : createOk(
            buildFenceMutations(
              member,
              'left',
              clock.getWallTime(),
              this.#dependencies.holdsNothing(),
            ),
          );
    });
  }

  /** Stops {@link join}. */
  stop(): void {
    this.#stopped.abort();
  }

  /**
   * Fences members.
   *
   * @returns whether none of the incarnations is a member any more.
   */
  async fence(
    members: readonly Member[],
    reason: string,
    evidence: FenceEvidence,
  ): Promise<boolean> {
    const names = members.map(({ id }) => id).join(' ');
    return this.#write(`fence ${names}`, reason, (view) => {
      const remaining = members.filter((member) => isMember(view, member));
      if (remaining.length === 0) {
        return createError(DONE);
      }
      const wallTime = this.#dependencies.clock.getWallTime();
      const mutations = remaining.flatMap((member) =>
        buildFenceMutations(member, reason, wallTime),
      );
      return evidence === FenceEvidence.External
        ? createOk(mutations)
        : this.#checkAccepted(mutations);
    });
  }

  async #tryJoin(): Promise<boolean> {
    const { identity, quorum } = this.#dependencies;
    let isLastStep = false;
    const isWritten = await this.#write('join', 'entry started', (view) => {
      const current = view.get(EntityKind.Member, identity.id);
      isLastStep = current === null || isMember(view, identity);
      if (!quorum.isUpToDateWithMajority()) {
        return createError(MAJORITY_UNHEARD);
      }
      return current === null ? this.#buildJoin(view) : this.#buildTakeover(view, current);
    });
    return isWritten && isLastStep;
  }

  #buildJoin(view: FleetView): Result<readonly Mutation[], MembershipRefusal> {
    const { identity, location, clock, buildInitialFleet } = this.#dependencies;
    const wallTime = clock.getWallTime();
    const initial = view.version === 0 ? buildInitialFleet(wallTime) : [];
    const member: Member = { id: identity.id, incarnation: identity.incarnation, ...location };
    return this.#checkAccepted([
      ...initial,
      ...buildFenceRemovals(view, wallTime),
      createPut(EntityKind.Member, member),
    ]);
  }

  /** Removes the previous incarnation of this entry, in this process or an earlier one. */
  #buildTakeover(view: FleetView, current: Member): Result<readonly Mutation[], MembershipRefusal> {
    const { identity, location, clock } = this.#dependencies;
    if (isMember(view, identity)) {
      return createError(DONE);
    }
    const mutations = buildFenceMutations(current, 'replaced', clock.getWallTime());
    // At an unchanged address this incarnation answers the peers, so the previous one has ended.
    return current.peerAddress === location.peerAddress
      ? createOk(mutations)
      : this.#checkAccepted(mutations);
  }

  #checkAccepted(mutations: readonly Mutation[]): Result<readonly Mutation[], MembershipRefusal> {
    const { quorum } = this.#dependencies;
    return quorum.isMembershipAccepted()
      ? createOk(mutations)
      : createError({
          kind: 'membership-pending',
          missing: quorum.listMissing(quorum.getMembershipVersion()),
        });
  }

  async #write(command: string, reason: string, build: MutationBuilder): Promise<boolean> {
    const { writer, identity, onFailure } = this.#dependencies;
    const author = identity.id;
    const written = await writer.write<MembershipRefusal>({ author, command, reason, build });
    if (written.ok || isDone(written.error)) {
      return true;
    }
    onFailure(command, written.error);
    return false;
  }
}
