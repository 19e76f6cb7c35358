import type { Fence, FleetView, Member, Mutation } from '@baobabwell/model';
import type { MemberIncarnation } from '@baobabwell/view';

import { createPut, createRemoval, EntityKind } from '@baobabwell/model';

import { FENCE_RETENTION_MS } from './BaobabwellMembershipConstants';

/** Returns the identifier of the fence of an incarnation. */
export function getFenceId({ id, incarnation }: MemberIncarnation): string {
  return `${id}.${incarnation}`;
}

/** Returns whether the view lists this incarnation as a member. */
export function isMember(view: FleetView, { id, incarnation }: MemberIncarnation): boolean {
  return view.get(EntityKind.Member, id)?.incarnation === incarnation;
}

/** Builds the mutations that remove a member and fence its incarnation. */
export function buildFenceMutations(
  { id: member, incarnation }: Member,
  reason: string,
  wallTime: number,
  holdsNothing = false,
): readonly Mutation[] {
  const id = getFenceId({ id: member, incarnation });
  const fence: Fence = { id, member, incarnation, reason, at: wallTime, holdsNothing };
  return [createRemoval(EntityKind.Member, member), createPut(EntityKind.Fence, fence)];
}

/** Builds the mutations that remove the fences older than {@link FENCE_RETENTION_MS}. */
export function buildFenceRemovals(view: FleetView, wallTime: number): readonly Mutation[] {
  return view
    .list(EntityKind.Fence)
    .filter(({ at }) => at + FENCE_RETENTION_MS < wallTime)
    .map(({ id }) => createRemoval(EntityKind.Fence, id));
}
