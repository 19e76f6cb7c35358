import type { Fence, FleetView, Member, Mutation } from '@baobabwell/model';
import type { MemberIncarnation } from '@baobabwell/view';

import { createPut, createRemoval, EntityKind } from '@baobabwell/model';

import { FENCE_KEPT_MS } from './BaobabwellMembershipConstants';

/** Builds the identifier of the fence of a life. */
export function getFenceId({ id, incarnation }: MemberIncarnation): string {
  return `${id}.${incarnation}`;
}

/** True when the view names this life as a member. */
export function isMember(view: FleetView, { id, incarnation }: MemberIncarnation): boolean {
  return view.get(EntityKind.Member, id)?.incarnation === incarnation;
}

/** Builds the mutations that take a member out and fence its life. */
export function buildFence(
  { id: member, incarnation }: Member,
  reason: string,
  wallTime: number,
  holdsNothing = false,
): readonly Mutation[] {
  const id = getFenceId({ id: member, incarnation });
  const fence: Fence = { id, member, incarnation, reason, at: wallTime, holdsNothing };
  return [createRemoval(EntityKind.Member, member), createPut(EntityKind.Fence, fence)];
}

/** Builds the mutations that forget fences which nobody needs any more. */
export function buildFenceRemovals(view: FleetView, wallTime: number): readonly Mutation[] {
  return view
    .list(EntityKind.Fence)
    .filter(({ at }) => at + FENCE_KEPT_MS < wallTime)
    .map(({ id }) => createRemoval(EntityKind.Fence, id));
}
