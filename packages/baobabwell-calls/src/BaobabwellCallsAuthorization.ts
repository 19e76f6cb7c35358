import type { CallRequest } from './BaobabwellCalls';
import type { FleetView, Queue, Target } from '@baobabwell/model';
import type { Result } from '@baobabwell/utils';

import { createHash, timingSafeEqual } from 'node:crypto';

import { EntityKind, QueueAccess, TargetState } from '@baobabwell/model';
import { createError, createOk } from '@baobabwell/utils';

import { CallReason } from './BaobabwellCalls';

/** Team to which calls without a key are attributed. */
export const OPEN_TEAM = 'open';

/** Queue, target and team of an authorized call, according to one version of the view. */
export type Authorization = {
  readonly queue: Queue;
  readonly target: Target;
  readonly team: string;
};

/** Computes the digest that the view stores in place of a secret. */
export function buildDigest(secret: string): string {
  return createHash('sha256').update(secret, 'utf8').digest('hex');
}

function isSameDigest(a: string, b: string): boolean {
  const left = Buffer.from(a, 'hex');
  const right = Buffer.from(b, 'hex');
  return left.length === right.length && timingSafeEqual(left, right);
}

function findTeam(view: FleetView, secret: string, wallTime: number): string | null {
  const digest = buildDigest(secret);
  const key = view.findKey(digest);
  if (key === null || !isSameDigest(key.digest, digest)) {
    return null;
  }
  return key.expiresAt === null || key.expiresAt > wallTime ? key.team : null;
}

/** Finds the team of a key by its secret; returns `null` for an unknown or expired key. */
export function findTeamOfSecret(
  view: FleetView,
  secret: string | null,
  wallTime: number,
): string | null {
  return secret === null ? null : findTeam(view, secret, wallTime);
}

function checkTeam(
  view: FleetView,
  queue: Queue,
  secret: string | null,
  wallTime: number,
): Result<string, CallReason> {
  if (secret === null) {
    return queue.access === QueueAccess.Open
      ? createOk(OPEN_TEAM)
      : createError(CallReason.KeyMissing);
  }
  const team = findTeam(view, secret, wallTime);
  if (team === null) {
    return createError(CallReason.KeyRefused);
  }
  return queue.access === QueueAccess.Open || queue.teams.includes(team)
    ? createOk(team)
    : createError(CallReason.TeamNotAllowed);
}

/** Fields of a call that its authorization depends on. */
export type AuthorizationRequest = Pick<CallRequest, 'queue' | 'secret' | 'acceptedTeam'>;

/** Checks queue, target, key and team of a call against the view. */
export function checkAuthorization(
  view: FleetView,
  request: AuthorizationRequest,
  wallTime: number,
): Result<Authorization, CallReason> {
  const queue = view.get(EntityKind.Queue, request.queue);
  const target = queue === null ? null : view.get(EntityKind.Target, queue.target);
  if (queue === null || target === null) {
    return createError(CallReason.UnknownQueue);
  }
  const team =
    request.acceptedTeam === undefined
      ? checkTeam(view, queue, request.secret, wallTime)
      : createOk(request.acceptedTeam);
  if (!team.ok) {
    return team;
  }
  return target.state === TargetState.Serving
    ? createOk({ queue, target, team: team.value })
    : createError(CallReason.TargetLeaving);
}
