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

const TIME_OF_DAY = /^(?:[01]\d|2[0-3]):[0-5]\d$/;

/** An option that sets one field of an entity. */
type FieldOption = CommandOptionSpec & {
  readonly field: string;
  /** Whether the field may change after creation. */
  readonly isFixed?: boolean;
  readonly parse?: (value: OptionValue) => unknown;
};

/** How the entities of a kind are created and changed. */
export type EntityForm<Kind extends EntityKind> = {
  readonly kind: Kind;
  readonly role: OperatorRole;
  readonly options: readonly FieldOption[];
  /** Fields of a new entity that no option set. */
  readonly defaults: (wallTime: number, operator: string) => Partial<EntityTypes[Kind]>;
  /** Finds why an entity must not be removed, or `null`. */
  readonly findObstacle?: (view: FleetView, id: string) => string | null;
};

const { Text, Whole, Number: Decimal, Flag, Duration, List } = OptionKind;

const POOL: EntityForm<EntityKind.Pool> = {
  kind: EntityKind.Pool,
  role: OperatorRole.Administrator,
  options: [
    { name: 'minimum-serving', field: 'minimumServing', kind: Whole, isRequired: true },
    { name: 'spare', field: 'isSpare', kind: Flag },
    { name: 'self-repair', field: 'selfRepair', kind: Flag },
  ],
  defaults: () => ({ isSpare: false, selfRepair: true }),
};

const ORGANISATION: EntityForm<EntityKind.Organisation> = {
  kind: EntityKind.Organisation,
  role: OperatorRole.Administrator,
  options: [{ name: 'share', field: 'share', kind: Decimal, isRequired: true }],
  defaults: () => ({}),
};

const TEAM: EntityForm<EntityKind.Team> = {
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
    { name: 'limit', field: 'limit', kind: Whole, isRequired: true },
  ],
  defaults: () => ({}),
};

function parseWindow(value: OptionValue): unknown {
  const [opens = '', closes = ''] = value as readonly string[];
  return TIME_OF_DAY.test(opens) && TIME_OF_DAY.test(closes) ? { opens, closes } : undefined;
}

const QUEUE: EntityForm<EntityKind.Queue> = {
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

const TARGET: EntityForm<EntityKind.Target> = {
  kind: EntityKind.Target,
  role: OperatorRole.Administrator,
  options: [
    { name: 'pool', field: 'pool', kind: Text, references: EntityKind.Pool, isRequired: true },
  ],
  defaults: () => ({ state: TargetState.Serving }),
};

const HOST: EntityForm<EntityKind.Host> = {
  kind: EntityKind.Host,
  role: OperatorRole.Administrator,
  options: [
    {
      name: 'pool',
      field: 'pool',
      kind: Text,
      references: EntityKind.Pool,
      isRequired: true,
      isFixed: true,
    },
    { name: 'rack', field: 'rack', kind: Text, isRequired: true },
    { name: 'data-centre', field: 'dataCentre', kind: Text, isRequired: true },
    { name: 'address', field: 'address', kind: Text, isRequired: true },
    { name: 'slots', field: 'slots', kind: Whole },
    { name: 'cores', field: 'cores', kind: Whole },
    { name: 'memory-gb', field: 'memoryGb', kind: Whole },
    { name: 'accelerators', field: 'accelerators', kind: Whole },
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
  findObstacle: (view, id) => {
    const state = view.get(EntityKind.Host, id)?.state;
    return state === HostState.Drained || state === HostState.Failed
      ? null
      : `host ${id} is ${state ?? 'gone'}; drain it first`;
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
        return createError({ code: 'bad-argument', message: `${name} is not valid` });
      }
    }
  }
  return createOk(fields);
}

/** Creates an entity. */
export class CreateEntityCommand<Kind extends EntityKind> extends OperatorCommand {
  override readonly name: string;

  override readonly summary: string;

  override readonly role: OperatorRole;

  override readonly parameters: readonly CommandParameter[];

  override readonly options: readonly FieldOption[];

  readonly #form: EntityForm<Kind>;

  constructor(form: EntityForm<Kind>) {
    super();
    this.#form = form;
    this.name = `create ${form.kind}`;
    this.summary = `Adds a ${form.kind} to the fleet.`;
    this.role = form.role;
    this.parameters = [{ name: form.kind, kind: form.kind, isNew: true }];
    this.options = form.options;
  }

  override decide(
    { values: [id = ''], options }: CommandInput,
    { view, wallTime, operator }: CommandContext,
  ): Result<Decision, Refusal> {
    const { kind, defaults } = this.#form;
    if (view.get(kind, id) !== null) {
      return createError({ code: 'conflict', message: `${kind} ${id} exists already` });
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

  readonly #form: EntityForm<Kind>;

  constructor(form: EntityForm<Kind>) {
    super();
    this.#form = form;
    this.name = `change ${form.kind}`;
    this.summary = `Changes the named fields of a ${form.kind} and leaves the others.`;
    this.role = form.role;
    this.parameters = [{ name: form.kind, kind: form.kind }];
    this.options = form.options
      .filter(({ isFixed }) => !isFixed)
      .map((option) => ({ ...option, isRequired: false }));
  }

  override decide(
    { values: [id = ''], options }: CommandInput,
    { view }: CommandContext,
  ): Result<Decision, Refusal> {
    const { kind } = this.#form;
    const before = view.get(kind, id);
    if (before === null) {
      return createError({ code: 'not-found', message: `there is no ${kind} "${id}"` });
    }
    if (options.size === 0) {
      return createError({ code: 'bad-argument', message: 'name at least one field to change' });
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

/** Removes an entity to which nothing refers. */
export class RemoveEntityCommand<Kind extends EntityKind> extends OperatorCommand {
  override readonly name: string;

  override readonly summary: string;

  override readonly role: OperatorRole;

  override readonly parameters: readonly CommandParameter[];

  readonly #form: Pick<EntityForm<Kind>, 'kind' | 'role' | 'findObstacle'>;

  constructor(form: Pick<EntityForm<Kind>, 'kind' | 'role' | 'findObstacle'>) {
    super();
    this.#form = form;
    this.name = `remove ${form.kind}`;
    this.summary = `Removes a ${form.kind} to which nothing else refers.`;
    this.role = form.role;
    this.parameters = [{ name: form.kind, kind: form.kind }];
  }

  override decide(
    { values: [id = ''] }: CommandInput,
    { view }: CommandContext,
  ): Result<Decision, Refusal> {
    const { kind, findObstacle } = this.#form;
    const obstacle = findObstacle?.(view, id) ?? null;
    return obstacle === null
      ? createOk({ mutations: [createRemoval(kind, id)], notes: [`${kind} ${id} removed`] })
      : createError({ code: 'not-allowed', message: obstacle });
  }
}

function findLastAdministrator(view: FleetView, id: string): string | null {
  const others = view
    .list(EntityKind.Operator)
    .filter((one) => one.id !== id && one.role === OperatorRole.Administrator);
  return others.length > 0 ? null : `operator ${id} is the last administrator`;
}

function createFormCommands<Kind extends EntityKind>(
  form: EntityForm<Kind>,
): readonly OperatorCommand[] {
  return [
    new CreateEntityCommand(form),
    new ChangeEntityCommand(form),
    new RemoveEntityCommand(form),
  ];
}

/** Creates the commands that create, change and remove entities. */
export function createEntityCommands(): readonly OperatorCommand[] {
  return [
    ...createFormCommands(POOL),
    ...createFormCommands(ORGANISATION),
    ...createFormCommands(TEAM),
    ...createFormCommands(TARGET),
    ...createFormCommands(QUEUE),
    ...createFormCommands(HOST),
    new RemoveEntityCommand({
      kind: EntityKind.Operator,
      role: OperatorRole.Administrator,
      findObstacle: findLastAdministrator,
    }),
  ];
}
