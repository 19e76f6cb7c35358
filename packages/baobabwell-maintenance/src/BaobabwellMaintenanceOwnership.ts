import type { Controller, FleetView } from '@baobabwell/model';
import type { Mutation } from '@baobabwell/model';

import { createPut, EntityKind } from '@baobabwell/model';

/** Identifier of the controller of the whole fleet. */
export const CONTROLLER_ID = 'maintenance';

/** One life of an entry. */
export type ControllerIdentity = {
  readonly id: string;
  readonly incarnation: string;
};

function isAlive(view: FleetView, { owner, incarnation }: Controller): boolean {
  const member = view.get(EntityKind.Member, owner);
  return member?.incarnation === incarnation;
}

/** Whether an entry owns the controller's work. */
export function isOwner(view: FleetView, { id, incarnation }: ControllerIdentity): boolean {
  const controller = view.get(EntityKind.Controller, CONTROLLER_ID);
  return controller?.owner === id && controller.incarnation === incarnation;
}

/** Whether nobody who is still a member owns the controller's work. */
export function isOwnerless(view: FleetView): boolean {
  const controller = view.get(EntityKind.Controller, CONTROLLER_ID);
  return controller === null || !isAlive(view, controller);
}

/** Place of an entry among the members, or `null` when it is not one. */
export function getRank(view: FleetView, { id, incarnation }: ControllerIdentity): number | null {
  const index = view
    .list(EntityKind.Member)
    .findIndex((member) => member.id === id && member.incarnation === incarnation);
  return index < 0 ? null : index;
}

/** Builds the change that makes an entry the owner; its token is the version of the change. */
export function buildTakeOver(view: FleetView, { id, incarnation }: ControllerIdentity): Mutation {
  return createPut(EntityKind.Controller, {
    id: CONTROLLER_ID,
    owner: id,
    incarnation,
    token: view.version + 1,
  });
}
