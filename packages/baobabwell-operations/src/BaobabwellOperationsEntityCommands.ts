import type {
  CommandContext,
  CommandInput,
  CommandOptionSpec,
  CommandParameter,
  Decision,
  OptionValue,
  Refusal,
} from './BaobabwellOperations';
import type { EntityTypes, FleetView } from '@baobabwell/model';
import type { Result } from '@baobabwell/utils';

import {
  createPut,
  createRemoval,
  EntityKind,
  HostState,
  OperatorRole,
  QueueAccess,
  QueueMode,
  TargetState,
} from '@baobabwell/model';
import { createError, createOk } from '@baobabwell/utils';

import { OperatorCommand, OptionKind } from './BaobabwellOperations';

const TIME_OF_DAY_PATTERN = /^(?:[01]\d|2[0-3]):[0-5]\d$/;

/** A command option that sets one field of an entity. */
type FieldOption = CommandOptionSpec & {
  readonly field: string;
  /** Whether the field can be set only when the entity is created. */
  readonly isImmutable?: boolean;
  readonly parse?: (value: OptionValue) => unknown;
};

/** Describes how the entities of one kind are created, changed and removed. */
export type EntityCommandSpec<Kind extends EntityKind> = {
  readonly kind: Kind;
  readonly role: OperatorRole;
  readonly options: readonly FieldOption[];
  /** Returns the fields of a new entity that no option set. */
  readonly defaults: (wallTime: number, operator: string) => Partial<EntityTypes[Kind]>;
  /** Finds the reason why an entity must not be removed, or `null`. */
  readonly findRemovalBlocker?: (view: FleetView, id: string) => string | null;
};

const { Text, Integer, Number: Decimal, Flag, Duration, List } = OptionKind;

const POOL: EntityCommandSpec<EntityKind.Pool> = {
  kind: EntityKind.Pool,
  role: OperatorRole.Administrator,
  options: [
    { name: 'minimum-serving', field: 'minimumServing', kind: Integer, isRequired: true },
    { name: 'spare', field: 'isSpare', kind: Flag },
    { name: 'self-repair', field: 'selfRepair', kind: Flag },
  ],
  defaults: () => ({ isSpare: false, selfRepair: true }),
};

const ORGANISATION: EntityCommandSpec<EntityKind.Organisation> = {
  kind: EntityKind.Organisation,
  role: OperatorRole.Administrator,
  options: [{ name: 'share', field: 'share', kind: Decimal, isRequired: true }],
  defaults: () => ({}),
};

const TEAM: EntityCommandSpec<EntityKind.Team> = {
  kind: EntityKind.Team,
  role: OperatorRole.Administrator,
  options: [
    {
      name: 'organisation',
      field: 'organisation',
      kind: Text,
      references: EntityKind.Organisation,
      isRequired: true,
    },
    { name: 'share', field: 'share', kind: Decimal, isRequired: true },
    { name: 'limit', field: 'limit', kind: Integer, isRequired: true },
  ],
  defaults: () => ({}),
};

function parseWindow(value: OptionValue): unknown {
  const [opens = '', closes = ''] = value as readonly string[];
  return TIME_OF_DAY_PATTERN.test(opens) && TIME_OF_DAY_PATTERN.test(closes)
    ? { opens, closes }
    : undefined;
}

const QUEUE: EntityCommandSpec<EntityKind.Queue> = {
  kind: EntityKind.Queue,
  role: OperatorRole.Administrator,
  options: [
    {
      name: 'target',
      field: 'target',
      kind: Text,
      references: EntityKind.Target,
      isRequired: true,
    },
    { name: 'access', field: 'access', kind: Text, allowed: Object.values(QueueAccess) },
    { name: 'teams', field: 'teams', kind: List, references: EntityKind.Team },
    { name: 'mode', field: 'mode', kind: Text, allowed: Object.values(QueueMode) },
    { name: 'deadline', field: 'deadlineMs', kind: Duration, isRequired: true },
    { name: 'window', field: 'window', kind: List, parse: parseWindow },
  ],
  defaults: () => ({
    access: QueueAccess.Teams,
    teams: [],
    mode: QueueMode.Immediate,
    window: null,
  }),
};

const TARGET: EntityCommandSpec<EntityKind.Target> = {
  kind: EntityKind.Target,
  role: OperatorRole.Administrator,
  options: [
    { name: 'pool', field: 'pool', kind: Text, references: EntityKind.Pool, isRequired: true },
  ],
  defaults: () => ({ state: TargetState.Serving }),
};

const HOST: EntityCommandSpec<EntityKind.Host> = {
  kind: EntityKind.Host,
  role: OperatorRole.Administrator,
  options: [
    {
      name: 'pool',
      field: 'pool',
      kind: Text,
      references: EntityKind.Pool,
      isRequired: true,
      isImmutable: true,
    },
    { name: 'rack', field: 'rack', kind: Text, isRequired: true },
    { name: 'data-centre', field: 'dataCentre', kind: Text, isRequired: true },
    { name: 'address', field: 'address', kind: Text, isRequired: true },
    { name: 'slots', field: 'slots', kind: Integer },
    { name: 'cores', field: 'cores', kind: Integer },
    { name: 'memory-gb', field: 'memoryGb', kind: Integer },
    { name: 'accelerators', field: 'accelerators', kind: Integer },
  ],
  defaults: (wallTime, operator) => ({
    slots: 8,
    cores: 16,
    memoryGb: 64,
    accelerators: 0,
    state: HostState.Drained,
    stateReason: `created by ${operator}`,
    stateSince: wallTime,
    movingTo: null,
  }),
  findRemovalBlocker: (view, id) => {
    const state = view.get(EntityKind.Host, id)?.state;
    return state === HostState.Drained || state === HostState.Failed
      ? null
      : `host ${id} is ${state ?? 'removed'}; drain it first`;
  },
};

function buildFields(
  options: ReadonlyMap<string, OptionValue>,
  specs: readonly FieldOption[],
): Result<Readonly<Record<string, unknown>>, Refusal> {
  const fields: Record<string, unknown> = {};
  for (const { name, field, parse } of specs) {
    const value = options.get(name);
    if (value !== undefined) {
      fields[field] = parse === undefined ? value : parse(value);
      if (fields[field] === undefined) {
        return createError({ code: 'bad-argument', message: `the value of ${name} is not valid` });
      }
    }
  }
  return createOk(fields);
}

/** Creates an entity of one kind. */
export class CreateEntityCommand<Kind extends EntityKind> extends OperatorCommand {
  override readonly name: string;

  override readonly summary: string;

  override readonly role: OperatorRole;

  override readonly parameters: readonly CommandParameter[];

  override readonly options: readonly FieldOption[];

  readonly #spec: EntityCommandSpec<Kind>;

  constructor(spec: EntityCommandSpec<Kind>) {
    super();
    this.#spec = spec;
    this.name = `create ${spec.kind}`;
    this.summary = `Adds a ${spec.kind} to the fleet.`;
    this.role = spec.role;
    this.parameters = [{ name: spec.kind, kind: spec.kind, isNew: true }];
    this.options = spec.options;
  }

  override decide(
    { values: [id = ''], options }: CommandInput,
    { view, wallTime, operator }: CommandContext,
  ): Result<Decision, Refusal> {
    const { kind, defaults } = this.#spec;
    if (view.get(kind, id) !== null) {
      return createError({ code: 'conflict', message: `${kind} ${id} already exists` });
    }
    const fields = buildFields(options, this.options);
    if (!fields.ok) {
      return fields;
    }
    const entity = { id, ...defaults(wallTime, operator), ...fields.value };
    return createOk({
      mutations: [createPut(kind, entity as unknown as EntityTypes[Kind])],
      notes: [`${kind} ${id} created`],
    });
  }
}

/** Changes fields of an entity. */
export class ChangeEntityCommand<Kind extends EntityKind> extends OperatorCommand {
  override readonly name: string;

  override readonly summary: string;

  override readonly role: OperatorRole;

  override readonly parameters: readonly CommandParameter[];

  override readonly options: readonly FieldOption[];

  readonly #spec: EntityCommandSpec<Kind>;

  constructor(spec: EntityCommandSpec<Kind>) {
    super();
    this.#spec = spec;
    this.name = `change ${spec.kind}`;
    this.summary = `Changes the given fields of a ${spec.kind}; the others stay as they are.`;
    this.role = spec.role;
    this.parameters = [{ name: spec.kind, kind: spec.kind }];
    this.options = spec.options
      .filter(({ isImmutable }) => !isImmutable)
      .map((option) => ({ ...option, isRequired: false }));
  }

  override decide(
    { values: [id = ''], options }: CommandInput,
    { view }: CommandContext,
  ): Result<Decision, Refusal> {
    const { kind } = this.#spec;
    const before = view.get(kind, id);
    if (before === null) {
      return createError({ code: 'not-found', message: `there is no ${kind} "${id}"` });
    }
    if (options.size === 0) {
      return createError({
        code: 'bad-argument',
        message: 'at least one field to change is required',
      });
    }
    const fields = buildFields(options, this.options);
    if (!fields.ok) {
      return fields;
    }
    return createOk({
      mutations: [createPut(kind, { ...before, ...fields.value } as EntityTypes[Kind])],
      notes: [`${kind} ${id} changed`],
    });
  }
}

/** Removes an entity that no other entity refers to. */
export class RemoveEntityCommand<Kind extends EntityKind> extends OperatorCommand {
  override readonly name: string;

  override readonly summary: string;

  override readonly role: OperatorRole;

  override readonly parameters: readonly CommandParameter[];

  readonly #spec: Pick<EntityCommandSpec<Kind>, 'kind' | 'role' | 'findRemovalBlocker'>;

  constructor(spec: Pick<EntityCommandSpec<Kind>, 'kind' | 'role' | 'findRemovalBlocker'>) {
    super();
    this.#spec = spec;
    this.name = `remove ${spec.kind}`;
    this.summary = `Removes a ${spec.kind} that no other entity refers to.`;
    this.role = spec.role;
    this.parameters = [{ name: spec.kind, kind: spec.kind }];
  }

  override decide(
    { values: [id = ''] }: CommandInput,
    { view }: CommandContext,
  ): Result<Decision, Refusal> {
    const { kind, findRemovalBlocker } = this.#spec;
    const blocker = findRemovalBlocker?.(view, id) ?? null;
    return blocker === null
      ? createOk({ mutations: [createRemoval(kind, id)], notes: [`${kind} ${id} removed`] })
      : createError({ code: 'not-allowed', message: blocker });
  }
}

function findLastAdministratorBlocker(view: FleetView, id: string): string | null {
  const others = view
    .list(EntityKind.Operator)
    .filter((operator) => operator.id !== id && operator.role === OperatorRole.Administrator);
  return others.length > 0 ? null : `operator ${id} is the last administrator`;
}

function createCommandsForSpec<Kind extends EntityKind>(
  spec: EntityCommandSpec<Kind>,
): readonly OperatorCommand[] {
  return [
    new CreateEntityCommand(spec),
    new ChangeEntityCommand(spec),
    new RemoveEntityCommand(spec),
  ];
}

/** Creates the commands that create, change and remove entities. */
export function createEntityCommands(): readonly OperatorCommand[] {
  return [
    ...createCommandsForSpec(POOL),
    ...createCommandsForSpec(ORGANISATION),
    ...createCommandsForSpec(TEAM),
    ...createCommandsForSpec(TARGET),
    ...createCommandsForSpec(QUEUE),
    ...createCommandsForSpec(HOST),
    new RemoveEntityCommand({
      kind: EntityKind.Operator,
      role: OperatorRole.Administrator,
      findRemovalBlocker: findLastAdministratorBlocker,
    }),
  ];
}
