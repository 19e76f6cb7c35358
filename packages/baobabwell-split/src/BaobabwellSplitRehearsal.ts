import type { SplitHalf, SplitHalves } from './BaobabwellSplitHalves';
import type { GetHostEvidence } from '@baobabwell/maintenance';
import type { FleetView, Host, Pool, Split } from '@baobabwell/model';

import { findOutageReason } from '@baobabwell/maintenance';
import { EntityKind, HostState, WaveState } from '@baobabwell/model';

import { getHalves, listLeavingPools, listPoolHosts } from './BaobabwellSplitHalves';

/** The halves of a split. */
export enum SplitSide {
  Leaving = 'leaving',
  Staying = 'staying',
}

/** One line of a rehearsal. */
export type RehearsalLine = {
  readonly half: SplitSide;
  /** What the line is about: `pool`, `team`, `queue`, `host` or `target`. */
  readonly kind: string;
  readonly name: string;
  /** What the half would have, or what stands in the way. */
  readonly text: string;
  /** Whether the split cannot start while this is so. */
  readonly isBlocking: boolean;
};

type Rehearsed = {
  readonly view: FleetView;
  readonly split: Split;
  readonly halves: SplitHalves;
  readonly getEvidence: GetHostEvidence;
};

const PERCENT = 100;

function createObstacle(half: SplitSide, kind: string, name: string, text: string): RehearsalLine {
  return { half, kind, name, text, isBlocking: true };
}

function sumSlots(hosts: readonly Host[]): number {
  return hosts.reduce((sum, { slots }) => sum + slots, 0);
}

function countServing(hosts: readonly Host[], getEvidence: GetHostEvidence): number {
  return hosts.filter((host) => findOutageReason(host, getEvidence(host.id)) === null).length;
}

function isPoolLeaving(halves: SplitHalves, pool: Pool): boolean {
  return listLeavingPools(halves).some(({ id }) => id === pool.id);
}

/** The budget of a pool binds the half that keeps the pool; a part that leaves needs a host. */
function getNeeded(side: SplitSide, halves: SplitHalves, pool: Pool): number {
  const keeps = side === SplitSide.Staying || isPoolLeaving(halves, pool);
  return keeps ? pool.minimumServing : 1;
}

function listPoolLines(side: SplitSide, half: SplitHalf, rehearsed: Rehearsed): RehearsalLine[] {
  const { halves, getEvidence } = rehearsed;
  return half.pools.map((pool) => {
    const hosts = listPoolHosts(half, pool.id);
    const serving = countServing(hosts, getEvidence);
    const needed = getNeeded(side, halves, pool);
    const text = `${hosts.length} hosts, ${serving} serving, ${needed} needed, ${sumSlots(hosts)} slots`;
    return { half: side, kind: 'pool', name: pool.id, text, isBlocking: serving < needed };
  });
}

function listTeamLines(side: SplitSide, half: SplitHalf, { view }: Rehearsed): RehearsalLine[] {
  const slots = sumSlots(half.hosts);
  const allShares = view.list(EntityKind.Team).reduce((sum, { share }) => sum + share, 0);
  const ownShares = half.teams.reduce((sum, { share }) => sum + share, 0);
  return half.teams.map(({ id, share, limit }) => {
    const before = Math.round((PERCENT * share) / allShares);
    const after = Math.round((PERCENT * share) / ownShares);
    const over = limit > slots ? `; its limit of ${limit} is above the half's ${slots} slots` : '';
    const text = `share ${before} % of the whole before, ${after} % of the half after${over}`;
    return { half: side, kind: 'team', name: id, text, isBlocking: false };
  });
}

function listQueueObstacles(side: SplitSide, half: SplitHalf): RehearsalLine[] {
  const own = new Set(half.teams.map(({ id }) => id));
  return half.queues.flatMap(({ id, teams }) =>
    teams
      .filter((team) => !own.has(team))
      .map((team) =>
        createObstacle(side, 'queue', id, `team ${team} of the other half calls this queue`),
      ),
  );
}

function listTargetObstacles(side: SplitSide, half: SplitHalf): RehearsalLine[] {
  return half.targets
    .filter(({ pool }) => listPoolHosts(half, pool).length === 0)
    .map(({ id, pool }) =>
      createObstacle(side, 'target', id, `no host of pool ${pool} goes to the same half`),
    );
}

function listNames(
  side: SplitSide,
  kind: EntityKind,
  ids: readonly string[],
  view: FleetView,
): RehearsalLine[] {
  return ids
    .filter((id) => view.get(kind, id) === null)
    .map((id) => createObstacle(side, kind, id, `there is no such ${kind} any more`));
}

function listHostObstacles({ split, halves }: Rehearsed): RehearsalLine[] {
  const busy = halves.leaving.hosts.filter(
    ({ state, maintenance }) =>
      state !== HostState.Serving &&
      (maintenance ?? null) !== null &&
      maintenance?.split !== split.id,
  );
  return busy.map(({ id, state, stateReason }) =>
    createObstacle(SplitSide.Leaving, 'host', id, `is ${state}: ${stateReason}`),
  );
}

function listWaveObstacles({ view, split }: Rehearsed): RehearsalLine[] {
  return view
    .list(EntityKind.Wave)
    .filter(({ state }) => state !== WaveState.Finished && state !== WaveState.Aborted)
    .filter(({ waiting, working }) =>
      [...waiting, ...working].some((id) => split.hosts.includes(id)),
    )
    .map(({ id, state }) =>
      createObstacle(SplitSide.Leaving, 'wave', id, `is ${state} and covers leaving hosts`),
    );
}

function listHalf(side: SplitSide, half: SplitHalf, rehearsed: Rehearsed): RehearsalLine[] {
  return [
    ...listPoolLines(side, half, rehearsed),
    ...listTeamLines(side, half, rehearsed),
    ...listQueueObstacles(side, half),
    ...listTargetObstacles(side, half),
  ];
}

/** Shows both halves after the split, and everything that stands in its way. */
export function rehearseSplit(
  view: FleetView,
  split: Split,
  getEvidence: GetHostEvidence,
): readonly RehearsalLine[] {
  const halves = getHalves(view, split);
  const rehearsed = { view, split, halves, getEvidence };
  return [
    ...listHalf(SplitSide.Leaving, halves.leaving, rehearsed),
    ...listHalf(SplitSide.Staying, halves.staying, rehearsed),
    ...listNames(SplitSide.Leaving, EntityKind.Target, split.targets, view),
    ...listNames(SplitSide.Leaving, EntityKind.Host, split.hosts, view),
    ...listNames(SplitSide.Leaving, EntityKind.Team, split.teams, view),
    ...listHostObstacles(rehearsed),
    ...listWaveObstacles(rehearsed),
  ];
}
