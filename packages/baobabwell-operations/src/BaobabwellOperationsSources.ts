import type { QueryRow } from './BaobabwellOperations';
import type { EntityTypes, FleetView } from '@baobabwell/model';

import { EntityKind } from '@baobabwell/model';

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
};

const COLUMNS: Readonly<Record<EntityKind, readonly string[]>> = {
  [EntityKind.Pool]: ['id', 'minimumServing', 'isSpare', 'selfRepair'],
  [EntityKind.Host]: [
    'id',
    'pool',
    'rack',
    'dataCentre',
    'address',
    'slots',
    'state',
    'stateReason',
    'movingTo',
  ],
  [EntityKind.Target]: ['id', 'pool', 'state'],
  [EntityKind.Queue]: ['id', 'target', 'access', 'teams', 'mode', 'deadlineMs'],
  [EntityKind.Organisation]: ['id', 'share'],
  [EntityKind.Team]: ['id', 'organisation', 'share', 'limit'],
  [EntityKind.Key]: ['id', 'team', 'createdAt', 'expiresAt'],
  [EntityKind.Member]: ['id', 'incarnation', 'dataCentre', 'peerAddress'],
  [EntityKind.Fence]: ['id', 'member', 'incarnation', 'reason', 'at'],
  [EntityKind.Operator]: ['id', 'role'],
};

function formatCell(value: unknown): QueryRow[string] {
  if (Array.isArray(value)) {
    return value.join(',');
  }
  return typeof value === 'string' || typeof value === 'number' || typeof value === 'boolean'
    ? value
    : null;
}

/** The entities of one kind in the view. */
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
    this.columns = COLUMNS[kind];
  }

  override async listRows(): Promise<readonly QueryRow[]> {
    return this.#getView()
      .list(this.#kind)
      .map((entity: EntityTypes[Kind]) => this.#buildRow(entity));
  }

  #buildRow(entity: EntityTypes[Kind]): QueryRow {
    const values = entity as unknown as Readonly<Record<string, unknown>>;
    return Object.fromEntries(this.columns.map((column) => [column, formatCell(values[column])]));
  }
}
