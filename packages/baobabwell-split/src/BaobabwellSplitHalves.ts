import type { FleetView, Host, Pool, Queue, Split, Target, Team } from '@baobabwell/model';

import { EntityKind } from '@baobabwell/model';

/** One half of the fleet after the split. */
export type SplitHalf = {
  readonly targets: readonly Target[];
  readonly hosts: readonly Host[];
  readonly teams: readonly Team[];
  readonly queues: readonly Queue[];
  readonly pools: readonly Pool[];
};

/** Both halves of the fleet. */
export type SplitHalves = {
  readonly leaving: SplitHalf;
  readonly staying: SplitHalf;
};

type SplitSelection = Pick<Split, 'targets' | 'hosts' | 'teams'>;

function buildHalf(view: FleetView, selection: SplitSelection, isLeaving: boolean): SplitHalf {
  const targets = view
    .list(EntityKind.Target)
    .filter(({ id }) => selection.targets.includes(id) === isLeaving);
  const hosts = view
    .list(EntityKind.Host)
    .filter(({ id }) => selection.hosts.includes(id) === isLeaving);
  const targetIds = new Set(targets.map(({ id }) => id));
  const poolIds = new Set([...targets, ...hosts].map(({ pool }) => pool));
  return {
    targets,
    hosts,
    teams: view
      .list(EntityKind.Team)
      .filter(({ id }) => selection.teams.includes(id) === isLeaving),
    queues: view.list(EntityKind.Queue).filter(({ target }) => targetIds.has(target)),
    pools: view.list(EntityKind.Pool).filter(({ id }) => poolIds.has(id)),
  };
}

/** Returns what each half contains after the split. */
export function getHalves(view: FleetView, selection: SplitSelection): SplitHalves {
  return { leaving: buildHalf(view, selection, true), staying: buildHalf(view, selection, false) };
}

/** Lists the pools of which no target and no host stays. */
export function listLeavingPools({ leaving, staying }: SplitHalves): readonly Pool[] {
  const stayingPools = new Set(staying.pools.map(({ id }) => id));
  return leaving.pools.filter(({ id }) => !stayingPools.has(id));
}

/** Lists the hosts of a pool within one half. */
export function listPoolHosts(half: SplitHalf, pool: string): readonly Host[] {
  return half.hosts.filter((host) => host.pool === pool);
}
