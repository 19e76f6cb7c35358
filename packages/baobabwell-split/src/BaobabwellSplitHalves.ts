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

type Parts = Pick<Split, 'targets' | 'hosts' | 'teams'>;

function buildHalf(view: FleetView, parts: Parts, isLeaving: boolean): SplitHalf {
  const targets = view
    .list(EntityKind.Target)
    .filter(({ id }) => parts.targets.includes(id) === isLeaving);
  const hosts = view
    .list(EntityKind.Host)
    .filter(({ id }) => parts.hosts.includes(id) === isLeaving);
  const own = new Set(targets.map(({ id }) => id));
  const poolIds = new Set([...targets, ...hosts].map(({ pool }) => pool));
  return {
    targets,
    hosts,
    teams: view.list(EntityKind.Team).filter(({ id }) => parts.teams.includes(id) === isLeaving),
    queues: view.list(EntityKind.Queue).filter(({ target }) => own.has(target)),
    pools: view.list(EntityKind.Pool).filter(({ id }) => poolIds.has(id)),
  };
}

/** Finds what each half holds after the split. */
export function getHalves(view: FleetView, parts: Parts): SplitHalves {
  return { leaving: buildHalf(view, parts, true), staying: buildHalf(view, parts, false) };
}

/** Lists the pools of which nothing stays: no target and no host. */
export function listLeavingPools({ leaving, staying }: SplitHalves): readonly Pool[] {
  const kept = new Set(staying.pools.map(({ id }) => id));
  return leaving.pools.filter(({ id }) => !kept.has(id));
}

/** Lists the hosts of a pool within one half. */
export function listPoolHosts(half: SplitHalf, pool: string): readonly Host[] {
  return half.hosts.filter((host) => host.pool === pool);
}
