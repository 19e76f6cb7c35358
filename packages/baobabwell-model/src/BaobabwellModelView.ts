import type { Entity, EntityTypes, Host, Key, Mutation, ViewChange } from './BaobabwellModel';

import { Map as ImmutableMap, Set as ImmutableSet } from 'immutable';

import { checkInvariant } from '@baobabwell/utils';

import { EntityKind } from './BaobabwellModelConstants';

type Tables = ImmutableMap<EntityKind, ImmutableMap<string, Entity>>;
type Index = ImmutableMap<string, ImmutableSet<string>>;

type ViewState = {
  readonly version: number;
  readonly tables: Tables;
  readonly hostsByPool: Index;
  readonly keyByDigest: ImmutableMap<string, string>;
};

const EMPTY_STATE: ViewState = {
  version: 0,
  tables: ImmutableMap(),
  hostsByPool: ImmutableMap(),
  keyByDigest: ImmutableMap(),
};

function removeFromIndex(index: Index, group: string, id: string): Index {
  const members = index.get(group)?.remove(id);
  return members === undefined || members.isEmpty()
    ? index.remove(group)
    : index.set(group, members);
}

function addToIndex(index: Index, group: string, id: string): Index {
  return index.set(group, (index.get(group) ?? ImmutableSet<string>()).add(id));
}

function applyHostIndex(index: Index, before: Host | undefined, after: Host | null): Index {
  const without = before === undefined ? index : removeFromIndex(index, before.pool, before.id);
  return after === null ? without : addToIndex(without, after.pool, after.id);
}

function applyKeyIndex(
  index: ImmutableMap<string, string>,
  before: Key | undefined,
  after: Key | null,
): ImmutableMap<string, string> {
  const without = before === undefined ? index : index.remove(before.digest);
  return after === null ? without : without.set(after.digest, after.id);
}

function applyMutation(state: ViewState, mutation: Mutation): ViewState {
  const table = state.tables.get(mutation.kind) ?? ImmutableMap<string, Entity>();
  const before = table.get(mutation.id);
  const after =
    mutation.value === null ? table.remove(mutation.id) : table.set(mutation.id, mutation.value);
  return {
    version: state.version,
    tables: state.tables.set(mutation.kind, after),
    hostsByPool:
      mutation.kind === EntityKind.Host
        ? applyHostIndex(state.hostsByPool, before as Host | undefined, mutation.value)
        : state.hostsByPool,
    keyByDigest:
      mutation.kind === EntityKind.Key
        ? applyKeyIndex(state.keyByDigest, before as Key | undefined, mutation.value)
        : state.keyByDigest,
  };
}

/** A consistent, read-only snapshot of the fleet at one version. */
export class FleetView {
  static readonly EMPTY = new FleetView(EMPTY_STATE);

  readonly #state: ViewState;

  private constructor(state: ViewState) {
    this.#state = state;
  }

  /** Version of the last change that this snapshot contains. */
  get version(): number {
    return this.#state.version;
  }

  /** Returns one entity, or `null` if it does not exist. */
  get<Kind extends EntityKind>(kind: Kind, id: string): EntityTypes[Kind] | null {
    return (this.#state.tables.get(kind)?.get(id) ?? null) as EntityTypes[Kind] | null;
  }

  /** Lists all entities of a kind, ordered by identifier. */
  list<Kind extends EntityKind>(kind: Kind): readonly EntityTypes[Kind][] {
    const table = this.#state.tables.get(kind);
    const entities = table === undefined ? [] : [...table.values()];
    return (entities as EntityTypes[Kind][]).toSorted((a, b) => (a.id < b.id ? -1 : 1));
  }

  /** Returns the number of entities of a kind. */
  countEntities(kind: EntityKind): number {
    return this.#state.tables.get(kind)?.size ?? 0;
  }

  /** Lists the hosts of a pool, ordered by identifier. */
  listHosts(pool: string): readonly Host[] {
    const ids = this.#state.hostsByPool.get(pool);
    if (ids === undefined) {
      return [];
    }
    return [...ids].toSorted().map((id) => this.get(EntityKind.Host, id) as Host);
  }

  /** Finds a key by the SHA-256 digest of its secret. */
  findKey(digest: string): Key | null {
    const id = this.#state.keyByDigest.get(digest);
    return id === undefined ? null : this.get(EntityKind.Key, id);
  }

  /** Returns the snapshot after a change, which must have the next version. */
  apply(change: ViewChange): FleetView {
    checkInvariant(
      change.version === this.version + 1,
      `change ${change.version} does not follow version ${this.version}`,
    );
    return new FleetView({
      ...change.mutations.reduce(applyMutation, this.#state),
      version: change.version,
    });
  }

  /** Creates a snapshot with the given entities at a version. */
  static create(version: number, mutations: readonly Mutation[]): FleetView {
    return new FleetView({ ...mutations.reduce(applyMutation, EMPTY_STATE), version });
  }

  /** Lists the mutations that rebuild this snapshot from an empty one. */
  listMutations(): readonly Mutation[] {
    return Object.values(EntityKind).flatMap((kind) =>
      this.list(kind).map((value) => ({ kind, id: value.id, value }) as Mutation),
    );
  }
}
