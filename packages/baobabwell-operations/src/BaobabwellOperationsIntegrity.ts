import type { FleetView, Mutation } from '@baobabwell/model';

import { EntityKind } from '@baobabwell/model';

type Reference = {
  readonly kind: EntityKind;
  readonly from: string;
  readonly to: EntityKind;
  readonly id: string;
};

function listReferences(view: FleetView): readonly Reference[] {
  const { Host, Target, Queue, Team, Key, Pool, Organisation } = EntityKind;
  return [
    ...view.list(Host).map(({ id, pool }) => ({ kind: Host, from: id, to: Pool, id: pool })),
    ...view
      .list(Host)
      .flatMap(({ id, movingTo }) =>
        movingTo === null ? [] : [{ kind: Host, from: id, to: Pool, id: movingTo }],
      ),
    ...view.list(Target).map(({ id, pool }) => ({ kind: Target, from: id, to: Pool, id: pool })),
    ...view
      .list(Queue)
      .flatMap(({ id, target, teams }) => [
        { kind: Queue, from: id, to: Target, id: target },
        ...teams.map((team) => ({ kind: Queue, from: id, to: Team, id: team })),
      ]),
    ...view.list(Team).map(({ id, organisation }) => ({
      kind: Team,
      from: id,
      to: Organisation,
      id: organisation,
    })),
    ...view.list(Key).map(({ id, team }) => ({ kind: Key, from: id, to: Team, id: team })),
  ];
}

/** Lists the references of a view to entities that do not exist. */
export function listDanglingReferences(view: FleetView): readonly string[] {
  return listReferences(view)
    .filter(({ to, id }) => view.get(to, id) === null)
    .map(({ kind, from, to, id }) => `${kind} ${from} refers to ${to} ${id}, which does not exist`);
}

/** Builds the view that mutations would give. */
export function buildCandidate(view: FleetView, mutations: readonly Mutation[]): FleetView {
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

/** Lists what mutations would break that is whole now. */
export function listIntegrityFindings(
  view: FleetView,
  mutations: readonly Mutation[],
): readonly string[] {
  const before = new Set(listDanglingReferences(view));
  const after = listDanglingReferences(buildCandidate(view, mutations));
  return after.filter((finding) => !before.has(finding));
}
