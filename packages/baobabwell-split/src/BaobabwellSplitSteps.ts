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

/** Mutations of a step and their inverse. */
export type StepChange = {
  readonly mutations: readonly Mutation[];
  /** Mutations that restore what the step replaces. */
  readonly saved: readonly Mutation[];
};

function buildInverse(view: FleetView, mutations: readonly Mutation[]): readonly Mutation[] {
  return mutations.map(({ kind, id }) => ({ kind, id, value: view.get(kind, id) }) as Mutation);
}

/**
 * Stops new work for the leaving targets. Pools that leave completely no longer require serving
 * hosts, so that all their hosts can be drained.
 */
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

/** Returns whether a host has failed or is drained for the split, so that no tasks run on it. */
function isOutOfService(host: Host, split: Split): boolean {
  return (
    host.state === HostState.Failed ||
    (host.state === HostState.Drained && host.maintenance?.split === split.id)
  );
}

/** Returns whether no tasks run on any leaving host. */
export function isDrained(view: FleetView, split: Split): boolean {
  return getHalves(view, split).leaving.hosts.every((host) => isOutOfService(host, split));
}

/** Takes out of service the leaving hosts that the budgets currently allow. */
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
  const leavingTeams = new Set(leaving.teams.map(({ id }) => id));
  return [
    ...leaving.queues.map(({ id }) => createRemoval(EntityKind.Queue, id)),
    ...staying.queues
      .filter(({ teams }) => teams.some((team) => leavingTeams.has(team)))
      .map((queue) =>
        createPut(EntityKind.Queue, {
          ...queue,
          teams: queue.teams.filter((team) => !leavingTeams.has(team)),
        }),
      ),
  ];
}

/**
 * Removes the keys of the leaving teams and the queues of the leaving targets, and withdraws the
 * leaving teams from the other queues.
 */
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

function buildOrganisationRemovals(view: FleetView, halves: SplitHalves): readonly Mutation[] {
  const stayingOrganisations = new Set(
    halves.staying.teams.map(({ organisation }) => organisation),
  );
  const leavingOrganisations = new Set(
    halves.leaving.teams.map(({ organisation }) => organisation),
  );
  return view
    .list(EntityKind.Organisation)
    .filter(({ id }) => leavingOrganisations.has(id) && !stayingOrganisations.has(id))
    .map(({ id }) => createRemoval(EntityKind.Organisation, id));
}

/** Removes the rest of the leaving half; this cannot be undone. */
export function buildRemovalStep(view: FleetView, split: Split): readonly Mutation[] {
  const halves = getHalves(view, split);
  return [
    ...halves.leaving.targets.map(({ id }) => createRemoval(EntityKind.Target, id)),
    ...halves.leaving.hosts.map(({ id }) => createRemoval(EntityKind.Host, id)),
    ...halves.leaving.teams.map(({ id }) => createRemoval(EntityKind.Team, id)),
    ...listLeavingPools(halves).map(({ id }) => createRemoval(EntityKind.Pool, id)),
    ...buildOrganisationRemovals(view, halves),
  ];
}

/** Builds the mutations that recreate the leaving half as it was before the steps of the split. */
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

/** Builds the mutations that undo all steps so far and return the hosts to service. */
export function buildUndo(view: FleetView, split: Split, wallTime: number): readonly Mutation[] {
  const hosts = getHalves(view, split)
    .leaving.hosts.filter(({ maintenance }) => maintenance?.split === split.id)
    .map((host) => buildReturn(host, `split ${split.id} undone`, wallTime));
  return [...split.saved, ...hosts];
}
