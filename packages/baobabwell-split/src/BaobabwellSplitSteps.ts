import type { SplitHalves } from './BaobabwellSplitHalves';
import type { ControlLoopContext } from '@baobabwell/maintenance';
import type { FleetView, Host, Mutation, Split } from '@baobabwell/model';

import { buildReturn, decideTakeOut } from '@baobabwell/maintenance';
import {
  createPut,
  createRemoval,
  EntityKind,
  HostState,
  MaintenanceGoal,
  TargetState,
} from '@baobabwell/model';

import { getHalves, listLeavingPools } from './BaobabwellSplitHalves';

/** What a step changes, and what it replaces. */
export type StepChange = {
  readonly mutations: readonly Mutation[];
  /** Mutations that put back what was replaced. */
  readonly saved: readonly Mutation[];
};

function buildInverse(view: FleetView, mutations: readonly Mutation[]): readonly Mutation[] {
  return mutations.map(({ kind, id }) => ({ kind, id, value: view.get(kind, id) }) as Mutation);
}

/** The leaving targets get no new work, and pools that leave as a whole need no budget. */
export function buildTargetsStep(view: FleetView, split: Split): StepChange {
  const halves = getHalves(view, split);
  const targets = halves.leaving.targets.map((target) =>
    createPut(EntityKind.Target, { ...target, state: TargetState.Leaving }),
  );
  const pools = listLeavingPools(halves).map((pool) =>
    createPut(EntityKind.Pool, { ...pool, minimumServing: 0 }),
  );
  const mutations = [...targets, ...pools];
  return { mutations, saved: buildInverse(view, mutations) };
}

/** Whether a host is out for the split, with nothing running on it. */
function isOut(host: Host, split: Split): boolean {
  return (
    host.state === HostState.Failed ||
    (host.state === HostState.Drained && host.maintenance?.split === split.id)
  );
}

/** Whether nothing runs on any leaving host. */
export function isDrained(view: FleetView, split: Split): boolean {
  return getHalves(view, split).leaving.hosts.every((host) => isOut(host, split));
}

/** Takes out the leaving hosts that the budgets allow now. */
export function buildDrainStep(split: Split, context: ControlLoopContext): readonly Mutation[] {
  let { view } = context;
  const mutations: Mutation[] = [];
  getHalves(view, split)
    .leaving.hosts.filter(({ state }) => state === HostState.Serving)
    .forEach(({ id }) => {
      const decision = decideTakeOut(
        view,
        {
          host: id,
          goal: MaintenanceGoal.Drain,
          reason: `split ${split.id}`,
          wallTime: context.wallTime,
          split: split.id,
          version: context.view.version + 1,
        },
        context.getEvidence,
      );
      if (decision.ok) {
        mutations.push(...decision.value.mutations);
        view = applyMutations(view, decision.value.mutations);
      }
    });
  return mutations;
}

function applyMutations(view: FleetView, mutations: readonly Mutation[]): FleetView {
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

function buildQueueChanges({ leaving, staying }: SplitHalves): readonly Mutation[] {
  const left = new Set(leaving.teams.map(({ id }) => id));
  return [
    ...leaving.queues.map(({ id }) => createRemoval(EntityKind.Queue, id)),
    ...staying.queues
      .filter(({ teams }) => teams.some((team) => left.has(team)))
      .map((queue) =>
        createPut(EntityKind.Queue, {
          ...queue,
          teams: queue.teams.filter((team) => !left.has(team)),
        }),
      ),
  ];
}

/** Keys of the leaving teams and queues of the leaving targets go. */
export function buildKeysStep(view: FleetView, split: Split): StepChange {
  const halves = getHalves(view, split);
  const teams = new Set(halves.leaving.teams.map(({ id }) => id));
  const keys = view
    .list(EntityKind.Key)
    .filter(({ team }) => teams.has(team))
    .map(({ id }) => createRemoval(EntityKind.Key, id));
  const mutations = [...keys, ...buildQueueChanges(halves)];
  return { mutations, saved: buildInverse(view, mutations) };
}

function listEmptyOrganisations(view: FleetView, halves: SplitHalves): readonly Mutation[] {
  const kept = new Set(halves.staying.teams.map(({ organisation }) => organisation));
  const left = new Set(halves.leaving.teams.map(({ organisation }) => organisation));
  return view
    .list(EntityKind.Organisation)
    .filter(({ id }) => left.has(id) && !kept.has(id))
    .map(({ id }) => createRemoval(EntityKind.Organisation, id));
}

/** Everything of the leaving half goes; there is no way back. */
export function buildRemovalStep(view: FleetView, split: Split): readonly Mutation[] {
  const halves = getHalves(view, split);
  return [
    ...halves.leaving.targets.map(({ id }) => createRemoval(EntityKind.Target, id)),
    ...halves.leaving.hosts.map(({ id }) => createRemoval(EntityKind.Host, id)),
    ...halves.leaving.teams.map(({ id }) => createRemoval(EntityKind.Team, id)),
    ...listLeavingPools(halves).map(({ id }) => createRemoval(EntityKind.Pool, id)),
    ...listEmptyOrganisations(view, halves),
  ];
}

/** What must stand in a view for the leaving half to be complete, from the saved steps. */
export function buildExport(view: FleetView, split: Split): readonly Mutation[] {
  const restored = applyMutations(view, split.saved);
  const { leaving } = getHalves(restored, split);
  const teams = new Set(leaving.teams.map(({ id }) => id));
  const organisations = new Set(leaving.teams.map(({ organisation }) => organisation));
  return [
    ...restored
      .list(EntityKind.Organisation)
      .filter(({ id }) => organisations.has(id))
      .map((value) => createPut(EntityKind.Organisation, value)),
    ...leaving.teams.map((value) => createPut(EntityKind.Team, value)),
    ...restored
      .list(EntityKind.Key)
      .filter(({ team }) => teams.has(team))
      .map((value) => createPut(EntityKind.Key, value)),
    ...leaving.pools.map((value) => createPut(EntityKind.Pool, value)),
    ...leaving.hosts.map((value) => createPut(EntityKind.Host, value)),
    ...leaving.targets.map((value) => createPut(EntityKind.Target, value)),
    ...leaving.queues.map((value) =>
      createPut(EntityKind.Queue, {
        ...value,
        teams: value.teams.filter((team) => teams.has(team)),
      }),
    ),
  ];
}

/** Puts back everything that the steps have done so far. */
export function buildUndo(view: FleetView, split: Split, wallTime: number): readonly Mutation[] {
  const hosts = getHalves(view, split)
    .leaving.hosts.filter(({ maintenance }) => maintenance?.split === split.id)
    .map((host) => buildReturn(host, `split ${split.id} undone`, wallTime));
  return [...split.saved, ...hosts];
}
