import type { FleetView, Mutation } from '@baobabwell/model';

import { EntityKind } from '@baobabwell/model';

type Reference = {
  readonly fromKind: EntityKind;
  readonly fromId: string;
  readonly toKind: EntityKind;
  readonly toId: string;
};

function listReferences(view: FleetView): readonly Reference[] {
  const { Host, Target, Queue, Team, Key, Pool, Organisation } = EntityKind;
  return [
    ...view
      .list(Host)
      .map(({ id, pool }) => ({ fromKind: Host, fromId: id, toKind: Pool, toId: pool })),
    ...view
      .list(Host)
      .flatMap(({ id, movingTo }) =>
        movingTo === null ? [] : [{ fromKind: Host, fromId: id, toKind: Pool, toId: movingTo }],
      ),
    ...view
      .list(Target)
      .map(({ id, pool }) => ({ fromKind: Target, fromId: id, toKind: Pool, toId: pool })),
    ...view
      .list(Queue)
      .flatMap(({ id, target, teams }) => [
        { fromKind: Queue, fromId: id, toKind: Target, toId: target },
        ...teams.map((team) => ({ fromKind: Queue, fromId: id, toKind: Team, toId: team })),
      ]),
    ...view.list(Team).map(({ id, organisation }) => ({
      fromKind: Team,
      fromId: id,
      toKind: Organisation,
      toId: organisation,
    })),
    ...view
      .list(Key)
      .map(({ id, team }) => ({ fromKind: Key, fromId: id, toKind: Team, toId: team })),
  ];
}

/** Lists the references in a view to entities that do not exist. */
export function listDanglingReferences(view: FleetView): readonly string[] {
  return listReferences(view)
    .filter(({ toKind, toId }) => view.get(toKind, toId) === null)
    .map(
      ({ fromKind, fromId, toKind, toId }) =>
        `${fromKind} ${fromId} refers to ${toKind} ${toId}, which does not exist`,
    );
}

/** Builds the view that would result from mutations. */
export function buildCandidateView(view: FleetView, mutations: readonly Mutation[]): FleetView {
  return view.apply({
    version: view.version + 1,
    transactionId: '',
    author: '',
    command: '',
    reason: '',
    at: 0,
    mutations,
  });
}

/** Lists the dangling references that mutations would add to a view. */
export function listNewDanglingReferences(
  view: FleetView,
  mutations: readonly Mutation[],
): readonly string[] {
  const before = new Set(listDanglingReferences(view));
  const after = listDanglingReferences(buildCandidateView(view, mutations));
  return after.filter((finding) => !before.has(finding));
}
