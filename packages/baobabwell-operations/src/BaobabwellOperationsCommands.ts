import type { CommandContext, Decision, Refusal } from './BaobabwellOperations';
import type { Host } from '@baobabwell/model';
import type { Result } from '@baobabwell/utils';

import { createHash, randomBytes, randomUUID } from 'node:crypto';

import { createPut, createRemoval, EntityKind, HostState, TargetState } from '@baobabwell/model';
import { createError, createOk } from '@baobabwell/utils';

import { OperatorCommand } from './BaobabwellOperations';

const SECRET_BYTES = 24;

function createNotFound(kind: EntityKind, id: string): Result<never, Refusal> {
  return createError({ code: 'not-found', message: `there is no ${kind} "${id}"` });
}

/** Creates a key for a team; the secret is shown once. */
export class GrantKeyCommand extends OperatorCommand {
  override readonly name = 'grant key';

  override readonly parameters = ['team'];

  override decide(
    [team = '']: readonly string[],
    { view, wallTime }: CommandContext,
  ): Result<Decision, Refusal> {
    if (view.get(EntityKind.Team, team) === null) {
      return createNotFound(EntityKind.Team, team);
    }
    const secret = randomBytes(SECRET_BYTES).toString('base64url');
    const id = `key-${randomUUID()}`;
    const digest = createHash('sha256').update(secret, 'utf8').digest('hex');
    const key = { id, team, digest, createdAt: wallTime, expiresAt: null };
    return createOk({
      mutations: [createPut(EntityKind.Key, key)],
      notes: [`key ${id}`, `secret ${secret}`],
    });
  }
}

/** Withdraws a key; calls that show it are refused from then on. */
export class WithdrawKeyCommand extends OperatorCommand {
  override readonly name = 'withdraw key';

  override readonly parameters = ['key'];

  override decide(
    [id = '']: readonly string[],
    { view }: CommandContext,
  ): Result<Decision, Refusal> {
    return view.get(EntityKind.Key, id) === null
      ? createNotFound(EntityKind.Key, id)
      : createOk({
          mutations: [createRemoval(EntityKind.Key, id)],
          notes: [`key ${id} withdrawn`],
        });
  }
}

/** Takes a host out of service, if the budget of its pool allows it. */
export class DrainHostCommand extends OperatorCommand {
  override readonly name = 'drain host';

  override readonly parameters = ['host'];

  override decide(
    [id = '']: readonly string[],
    { view, wallTime, reason }: CommandContext,
  ): Result<Decision, Refusal> {
    const host = view.get(EntityKind.Host, id);
    if (host === null) {
      return createNotFound(EntityKind.Host, id);
    }
    if (host.state !== HostState.Serving) {
      return createError({ code: 'conflict', message: `host ${id} is ${host.state}` });
    }
    const pool = view.get(EntityKind.Pool, host.pool);
    const serving = view
      .listHosts(host.pool)
      .filter(({ state }) => state === HostState.Serving).length;
    if (pool !== null && serving - 1 < pool.minimumServing) {
      return createError({
        code: 'not-allowed',
        message: `pool ${pool.id} has ${serving} serving hosts and needs ${pool.minimumServing}`,
      });
    }
    const drained: Host = {
      ...host,
      state: HostState.Draining,
      stateReason: reason,
      stateSince: wallTime,
    };
    return createOk({
      mutations: [createPut(EntityKind.Host, drained)],
      notes: [`host ${id} draining`],
    });
  }
}

/** Puts a host back into service. */
export class ReturnHostCommand extends OperatorCommand {
  override readonly name = 'return host';

  override readonly parameters = ['host'];

  override decide(
    [id = '']: readonly string[],
    { view, wallTime, reason }: CommandContext,
  ): Result<Decision, Refusal> {
    const host = view.get(EntityKind.Host, id);
    if (host === null) {
      return createNotFound(EntityKind.Host, id);
    }
    const returned: Host = {
      ...host,
      state: HostState.Serving,
      stateReason: reason,
      stateSince: wallTime,
    };
    return createOk({
      mutations: [createPut(EntityKind.Host, returned)],
      notes: [`host ${id} serving`],
    });
  }
}

/** Stops new work for a target. */
export class RetireTargetCommand extends OperatorCommand {
  override readonly name = 'retire target';

  override readonly parameters = ['target'];

  override decide(
    [id = '']: readonly string[],
    { view }: CommandContext,
  ): Result<Decision, Refusal> {
    const target = view.get(EntityKind.Target, id);
    return target === null
      ? createNotFound(EntityKind.Target, id)
      : createOk({
          mutations: [createPut(EntityKind.Target, { ...target, state: TargetState.Leaving })],
          notes: [`target ${id} leaving`],
        });
  }
}
