import type { CommandContext, CommandInput, Decision, Refusal } from './BaobabwellOperations';
import type { Key, Operator } from '@baobabwell/model';
import type { Result } from '@baobabwell/utils';

import { createHash, randomBytes, randomUUID } from 'node:crypto';

import { createPut, createRemoval, EntityKind, OperatorRole } from '@baobabwell/model';
import { createError, createOk } from '@baobabwell/utils';

import { OperatorCommand, OptionKind } from './BaobabwellOperations';

const SECRET_BYTES = 24;
const DEFAULT_OVERLAP_MS = 3_600_000;

const EXPIRES_OPTION = { name: 'expires', kind: OptionKind.Duration };

type Secret = { readonly secret: string; readonly digest: string };

function createSecret(): Secret {
  const secret = randomBytes(SECRET_BYTES).toString('base64url');
  return { secret, digest: createHash('sha256').update(secret, 'utf8').digest('hex') };
}

function createKey(
  team: string,
  wallTime: number,
  lifetimeMs: number | null,
): { readonly key: Key; readonly notes: readonly string[] } {
  const { secret, digest } = createSecret();
  const key: Key = {
    id: `key-${randomUUID()}`,
    team,
    digest,
    createdAt: wallTime,
    expiresAt: lifetimeMs === null ? null : wallTime + lifetimeMs,
  };
  return { key, notes: [`key ${key.id}`, `secret ${secret}`] };
}

function getLifetime({ options }: CommandInput): number | null {
  return (options.get(EXPIRES_OPTION.name) as number | undefined) ?? null;
}

/** Creates a key for a team; the secret is shown once. */
export class GrantKeyCommand extends OperatorCommand {
  override readonly name = 'grant key';

  override readonly summary =
    'Creates an additional key for the team; the secret is shown once, and only its digest is stored.';

  override readonly role = OperatorRole.Operator;

  override readonly parameters = [{ name: 'team', kind: EntityKind.Team }];

  override readonly options = [EXPIRES_OPTION];

  override decide(input: CommandInput, { wallTime }: CommandContext): Result<Decision, Refusal> {
    const [team = ''] = input.values;
    const { key, notes } = createKey(team, wallTime, getLifetime(input));
    return createOk({ mutations: [createPut(EntityKind.Key, key)], notes });
  }
}

/** Replaces a key by a new one; the old key stays valid during an overlap. */
export class RotateKeyCommand extends OperatorCommand {
  override readonly name = 'rotate key';

  override readonly summary =
    'Creates a new key for the same team; the old one expires after the overlap (1h by default).';

  override readonly role = OperatorRole.Operator;

  override readonly parameters = [{ name: 'key', kind: EntityKind.Key }];

  override readonly options = [{ name: 'overlap', kind: OptionKind.Duration }, EXPIRES_OPTION];

  override decide(
    input: CommandInput,
    { view, wallTime }: CommandContext,
  ): Result<Decision, Refusal> {
    const [id = ''] = input.values;
    const oldKey = view.get(EntityKind.Key, id);
    if (oldKey === null) {
      return createError({ code: 'not-found', message: `there is no key "${id}"` });
    }
    const overlapMs = (input.options.get('overlap') as number | undefined) ?? DEFAULT_OVERLAP_MS;
    const expiresAt = Math.min(oldKey.expiresAt ?? Number.MAX_SAFE_INTEGER, wallTime + overlapMs);
    const { key, notes } = createKey(oldKey.team, wallTime, getLifetime(input));
    return createOk({
      mutations: [
        createPut(EntityKind.Key, { ...oldKey, expiresAt }),
        createPut(EntityKind.Key, key),
      ],
      notes: [...notes, `key ${id} expires at ${new Date(expiresAt).toISOString()}`],
    });
  }
}

/** Removes a key; entries refuse calls with it from then on. */
export class WithdrawKeyCommand extends OperatorCommand {
  override readonly name = 'withdraw key';

  override readonly summary = 'Removes the key; every entry refuses calls with it.';

  override readonly role = OperatorRole.Operator;

  override readonly parameters = [{ name: 'key', kind: EntityKind.Key }];

  override decide({ values: [id = ''] }: CommandInput): Result<Decision, Refusal> {
    return createOk({
      mutations: [createRemoval(EntityKind.Key, id)],
      notes: [`key ${id} withdrawn`],
    });
  }
}

/** Creates an operator; the secret is shown once. */
export class CreateOperatorCommand extends OperatorCommand {
  override readonly name = 'create operator';

  override readonly summary = 'Creates an operator with a role; the secret is shown once.';

  override readonly role = OperatorRole.Administrator;

  override readonly parameters = [{ name: 'operator', kind: EntityKind.Operator, isNew: true }];

  override readonly options = [
    {
      name: 'role',
      kind: OptionKind.Text,
      allowed: Object.values(OperatorRole),
      isRequired: true,
    },
  ];

  override decide(
    { values: [id = ''], options }: CommandInput,
    { view }: CommandContext,
  ): Result<Decision, Refusal> {
    if (view.get(EntityKind.Operator, id) !== null) {
      return createError({ code: 'conflict', message: `operator ${id} already exists` });
    }
    const { secret, digest } = createSecret();
    const operator: Operator = { id, role: options.get('role') as OperatorRole, digest };
    return createOk({
      mutations: [createPut(EntityKind.Operator, operator)],
      notes: [`operator ${id}`, `secret ${secret}`],
    });
  }
}
