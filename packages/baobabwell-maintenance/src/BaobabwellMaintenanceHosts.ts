import type {
  GetHostEvidence,
  MaintenanceDecision,
  MaintenanceRefusal,
} from './BaobabwellMaintenance';
import type { FleetView, Host, HostMaintenance, Mutation } from '@baobabwell/model';
import type { Result } from '@baobabwell/utils';

import { createPut, EntityKind, HostState, MaintenanceGoal } from '@baobabwell/model';
import { createError, createOk } from '@baobabwell/utils';

import { checkTakeOut } from './BaobabwellMaintenanceBudget';

/** Request to take a host out of service. */
export type TakeOutRequest = {
  readonly host: string;
  readonly goal: MaintenanceGoal;
  readonly reason: string;
  readonly wallTime: number;
  /** Pool that the host joins if the goal is a move. */
  readonly movingTo?: string | null;
  readonly wave?: string | null;
  readonly split?: string | null;
  /** Version that the change will have; given if the view contains uncommitted changes. */
  readonly version?: number;
};

/** Finds a host; refuses if it does not exist. */
export function findHost(view: FleetView, id: string): Result<Host, MaintenanceRefusal> {
  const host = view.get(EntityKind.Host, id);
  return host === null
    ? createError({ code: 'not-found', message: `there is no host "${id}"` })
    : createOk(host);
}

/** Returns a copy of a host with a new state. */
export function buildHostState(
  host: Host,
  state: HostState,
  stateReason: string,
  wallTime: number,
): Host {
  return { ...host, state, stateReason, stateSince: wallTime };
}

/** Builds the mutation that returns a host to service. */
export function buildReturn(host: Host, reason: string, wallTime: number): Mutation {
  const serving = buildHostState(host, HostState.Serving, reason, wallTime);
  return createPut(EntityKind.Host, { ...serving, movingTo: null, maintenance: null });
}

function checkMove(
  view: FleetView,
  host: Host,
  movingTo: string | null,
): MaintenanceRefusal | null {
  if (movingTo === null) {
    return null;
  }
  if (view.get(EntityKind.Pool, movingTo) === null) {
    return { code: 'not-found', message: `there is no pool "${movingTo}"` };
  }
  return movingTo === host.pool
    ? { code: 'conflict', message: `host ${host.id} is already in pool ${movingTo}` }
    : null;
}

function checkState(host: Host, goal: MaintenanceGoal): MaintenanceRefusal | null {
  const isAllowed =
    host.state === HostState.Serving ||
    host.state === HostState.Failed ||
    // A host that was drained with no further goal may still be rebooted or moved.
    (host.state === HostState.Drained &&
      host.maintenance?.goal === MaintenanceGoal.Drain &&
      goal !== MaintenanceGoal.Drain);
  return isAllowed
    ? null
    : { code: 'conflict', message: `host ${host.id} is ${host.state}: ${host.stateReason}` };
}

/** Decides to take a host out of service if its state and the budget of its pool allow it. */
export function decideTakeOut(
  view: FleetView,
  request: TakeOutRequest,
  getEvidence: GetHostEvidence,
): Result<MaintenanceDecision, MaintenanceRefusal> {
  const found = findHost(view, request.host);
  if (!found.ok) {
    return found;
  }
  const host = found.value;
  const movingTo = request.movingTo ?? null;
  const refusal =
    checkState(host, request.goal) ??
    checkMove(view, host, movingTo) ??
    checkTakeOut(view, host, getEvidence);
  if (refusal !== null) {
    return createError(refusal);
  }
  const maintenance: HostMaintenance = {
    goal: request.goal,
    wave: request.wave ?? null,
    split: request.split ?? null,
    token: request.version ?? view.version + 1,
  };
  const state = host.state === HostState.Drained ? HostState.Drained : HostState.Draining;
  const changed = {
    ...buildHostState(host, state, request.reason, request.wallTime),
    movingTo,
    maintenance,
  };
  return createOk({
    mutations: [createPut(EntityKind.Host, changed)],
    notes: [`host ${host.id} ${state}`],
  });
}

/** Decides to return a host to service. */
export function decideReturn(
  view: FleetView,
  id: string,
  reason: string,
  wallTime: number,
): Result<MaintenanceDecision, MaintenanceRefusal> {
  const found = findHost(view, id);
  if (!found.ok) {
    return found;
  }
  const host = found.value;
  if (host.state === HostState.Serving) {
    return createError({ code: 'conflict', message: `host ${id} is already serving` });
  }
  if (host.state === HostState.Rebooting) {
    return createError({
      code: 'conflict',
      message: `host ${id} is rebooting and returns to service automatically`,
    });
  }
  return createOk({
    mutations: [buildReturn(host, reason, wallTime)],
    notes: [`host ${id} serving in pool ${host.pool}`],
  });
}
