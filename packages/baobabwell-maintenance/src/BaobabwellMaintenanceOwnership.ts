import type { Controller, FleetView } from '@baobabwell/model';
import type { Mutation } from '@baobabwell/model';

import { createPut, EntityKind } from '@baobabwell/model';

/** Identifier of the maintenance controller; there is one for the whole fleet. */
export const CONTROLLER_ID = 'maintenance';

/** Identifies one incarnation of an entry. */
export type ControllerIdentity = {
  readonly id: string;
  readonly incarnation: string;
};

function hasLiveOwner(view: FleetView, { owner, incarnation }: Controller): boolean {
  const member = view.get(EntityKind.Member, owner);
  return member?.incarnation === incarnation;
}

/** Returns whether an entry owns maintenance. */
export function isOwner(view: FleetView, { id, incarnation }: ControllerIdentity): boolean {
  const controller = view.get(EntityKind.Controller, CONTROLLER_ID);
  return controller?.owner === id && controller.incarnation === incarnation;
}

/** Returns whether no current member owns maintenance. */
export function isOwnerless(view: FleetView): boolean {
  const controller = view.get(EntityKind.Controller, CONTROLLER_ID);
  return controller === null || !hasLiveOwner(view, controller);
}

/** Returns the position of an entry in the list of members, or `null` if it is not a member. */
export function getTakeoverRank(
  view: FleetView,
  { id, incarnation }: ControllerIdentity,
): number | null {
  const index = view
    .list(EntityKind.Member)
    .findIndex((member) => member.id === id && member.incarnation === incarnation);
  return index < 0 ? null : index;
}

/** Builds the mutation that makes an entry the owner; its token is the version of the change. */
export function buildTakeover(view: FleetView, { id, incarnation }: ControllerIdentity): Mutation {
  return createPut(EntityKind.Controller, {
    id: CONTROLLER_ID,
    owner: id,
    incarnation,
    token: view.version + 1,
  });
}
