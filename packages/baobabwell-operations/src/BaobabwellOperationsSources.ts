import type { QueryCell, QueryRequest, QueryRow } from './BaobabwellOperations';
import type { EntityTypes, FleetView } from '@baobabwell/model';
import type { Result } from '@baobabwell/utils';

import { EntityKind } from '@baobabwell/model';
import { createOk } from '@baobabwell/utils';

import { QuerySource } from './BaobabwellOperations';

const SOURCE_NAMES: Readonly<Record<EntityKind, string>> = {
  [EntityKind.Pool]: 'pools',
  [EntityKind.Host]: 'hosts',
  [EntityKind.Target]: 'targets',
  [EntityKind.Queue]: 'queues',
  [EntityKind.Organisation]: 'organisations',
  [EntityKind.Team]: 'teams',
  [EntityKind.Key]: 'keys',
  [EntityKind.Member]: 'members',
  [EntityKind.Fence]: 'fences',
  [EntityKind.Operator]: 'operators',
  [EntityKind.Wave]: 'waves',
  [EntityKind.Split]: 'splits',
  [EntityKind.Controller]: 'controllers',
};

const HOST_COLUMNS = [
  'name',
  'pool',
  'rack',
  'dataCentre',
  'address',
  'slots',
  'state',
  'stateReason',
  'stateSince',
  'movingTo',
  'cores',
  'memoryGb',
  'accelerators',
];

const WAVE_COLUMNS = [
  'name',
  'scope',
  'scopeId',
  'policy',
  'state',
  'stateReason',
  'waiting',
  'working',
  'done',
  'failed',
  'maximumFailures',
  'startedAt',
  'endedAt',
];

const COLUMNS_BY_KIND: Readonly<Record<EntityKind, readonly string[]>> = {
  [EntityKind.Pool]: ['name', 'minimumServing', 'isSpare', 'selfRepair'],
  [EntityKind.Host]: HOST_COLUMNS,
  [EntityKind.Target]: ['name', 'pool', 'state'],
  [EntityKind.Queue]: ['name', 'target', 'access', 'teams', 'mode', 'deadlineMs'],
  [EntityKind.Organisation]: ['name', 'share'],
  [EntityKind.Team]: ['name', 'organisation', 'share', 'limit'],
  [EntityKind.Key]: ['name', 'team', 'createdAt', 'expiresAt'],
  [EntityKind.Member]: ['name', 'incarnation', 'dataCentre', 'peerAddress'],
  [EntityKind.Operator]: ['name', 'role'],
  [EntityKind.Wave]: WAVE_COLUMNS,
  [EntityKind.Split]: [
    'name',
    'targets',
    'hosts',
    'teams',
    'notBefore',
    'state',
    'stateReason',
    'step',
  ],
  [EntityKind.Fence]: ['name', 'member', 'incarnation', 'reason', 'at'],
  [EntityKind.Controller]: ['name', 'owner', 'incarnation', 'token'],
};

const TIME_COLUMNS: ReadonlySet<string> = new Set([
  'createdAt',
  'expiresAt',
  'stateSince',
  'startedAt',
  'endedAt',
  'notBefore',
]);

function formatCell(column: string, value: unknown): QueryCell {
  if (Array.isArray(value)) {
    return value.join(',');
  }
  if (TIME_COLUMNS.has(column) && typeof value === 'number') {
    return new Date(value).toISOString();
  }
  return typeof value === 'string' || typeof value === 'number' || typeof value === 'boolean'
    ? value
    : null;
}

/** Lists the entities of one kind in the view. The column `id` is an alias of `name`. */
export class EntitySource<Kind extends EntityKind> extends QuerySource {
  override readonly name: string;

  override readonly columns: readonly string[];

  readonly #kind: Kind;

  readonly #getView: () => FleetView;

  constructor(kind: Kind, getView: () => FleetView) {
    super();
    this.#kind = kind;
    this.#getView = getView;
    this.name = SOURCE_NAMES[kind];
    this.columns = [...COLUMNS_BY_KIND[kind], 'id'];
  }

  override get defaultColumns(): readonly string[] {
    return COLUMNS_BY_KIND[this.#kind];
  }

  override async listRows(_request: QueryRequest): Promise<Result<readonly QueryRow[], never>> {
    return createOk(this.listEntityRows());
  }

  /** Lists the rows from the local view, without calls to other processes. */
  listEntityRows(): readonly QueryRow[] {
    return this.#getView()
      .list(this.#kind)
      .map((entity: EntityTypes[Kind]) => this.#buildRow(entity));
  }

  #buildRow(entity: EntityTypes[Kind]): QueryRow {
    const values = entity as unknown as Readonly<Record<string, unknown>>;
    const cells = COLUMNS_BY_KIND[this.#kind].map((column) => [
      column,
      formatCell(column, values[column]),
    ]);
    return { ...(Object.fromEntries(cells) as QueryRow), id: entity.id, name: entity.id };
  }
}
