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

/** One line of the result of a rehearsal. */
export type RehearsalLine = {
  readonly half: SplitSide;
  /** Kind of the entity: `pool`, `team`, `queue`, `host`, `target` or `wave`. */
  readonly kind: string;
  readonly name: string;
  /** What the half would contain, or what blocks the split. */
  readonly text: string;
  /** Whether the split cannot start while this line applies. */
  readonly isBlocking: boolean;
};

type RehearsalContext = {
  readonly view: FleetView;
  readonly split: Split;
  readonly halves: SplitHalves;
  readonly getEvidence: GetHostEvidence;
};

const PERCENT = 100;

function createBlocker(half: SplitSide, kind: string, name: string, text: string): RehearsalLine {
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

/**
 * Returns the number of serving hosts that a half requires in a pool. The minimum of the pool
 * applies to the half that keeps the pool; a leaving part of a staying pool requires one host.
 */
function getRequiredHosts(side: SplitSide, halves: SplitHalves, pool: Pool): number {
  const keepsPool = side === SplitSide.Staying || isPoolLeaving(halves, pool);
  return keepsPool ? pool.minimumServing : 1;
}

function listPoolLines(
  side: SplitSide,
  half: SplitHalf,
  context: RehearsalContext,
): RehearsalLine[] {
  const { halves, getEvidence } = context;
  return half.pools.map((pool) => {
    const hosts = listPoolHosts(half, pool.id);
    const serving = countServing(hosts, getEvidence);
    const required = getRequiredHosts(side, halves, pool);
    const text = `${hosts.length} hosts, ${serving} serving, ${required} needed, ${sumSlots(hosts)} slots`;
    return { half: side, kind: 'pool', name: pool.id, text, isBlocking: serving < required };
  });
}

function listTeamLines(
  side: SplitSide,
  half: SplitHalf,
  { view }: RehearsalContext,
): RehearsalLine[] {
  const slots = sumSlots(half.hosts);
  const totalShares = view.list(EntityKind.Team).reduce((sum, { share }) => sum + share, 0);
  const halfShares = half.teams.reduce((sum, { share }) => sum + share, 0);
  return half.teams.map(({ id, share, limit }) => {
    const before = Math.round((PERCENT * share) / totalShares);
    const after = Math.round((PERCENT * share) / halfShares);
    const limitWarning =
      limit > slots ? `; its limit of ${limit} is above the half's ${slots} slots` : '';
    const text = `share ${before} % of the whole before, ${after} % of the half after${limitWarning}`;
    return { half: side, kind: 'team', name: id, text, isBlocking: false };
  });
}

function listQueueBlockers(side: SplitSide, half: SplitHalf): RehearsalLine[] {
  const halfTeams = new Set(half.teams.map(({ id }) => id));
  return half.queues.flatMap(({ id, teams }) =>
    teams
      .filter((team) => !halfTeams.has(team))
      .map((team) =>
        createBlocker(side, 'queue', id, `team ${team} of the other half calls this queue`),
      ),
  );
}

function listTargetBlockers(side: SplitSide, half: SplitHalf): RehearsalLine[] {
  return half.targets
    .filter(({ pool }) => listPoolHosts(half, pool).length === 0)
    .map(({ id, pool }) =>
      createBlocker(side, 'target', id, `no host of pool ${pool} is in the same half`),
    );
}

function listMissingEntities(
  side: SplitSide,
  kind: EntityKind,
  ids: readonly string[],
  view: FleetView,
): RehearsalLine[] {
  return ids
    .filter((id) => view.get(kind, id) === null)
    .map((id) => createBlocker(side, kind, id, `this ${kind} no longer exists`));
}

function listHostBlockers({ split, halves }: RehearsalContext): RehearsalLine[] {
  const inMaintenance = halves.leaving.hosts.filter(
    ({ state, maintenance }) =>
      state !== HostState.Serving &&
      (maintenance ?? null) !== null &&
      maintenance?.split !== split.id,
  );
  return inMaintenance.map(({ id, state, stateReason }) =>
    createBlocker(SplitSide.Leaving, 'host', id, `is ${state}: ${stateReason}`),
  );
}

function listWaveBlockers({ view, split }: RehearsalContext): RehearsalLine[] {
  return view
    .list(EntityKind.Wave)
    .filter(({ state }) => state !== WaveState.Finished && state !== WaveState.Aborted)
    .filter(({ waiting, working }) =>
      [...waiting, ...working].some((id) => split.hosts.includes(id)),
    )
    .map(({ id, state }) =>
      createBlocker(SplitSide.Leaving, 'wave', id, `is ${state} and covers leaving hosts`),
    );
}

function listHalf(side: SplitSide, half: SplitHalf, context: RehearsalContext): RehearsalLine[] {
  return [
    ...listPoolLines(side, half, context),
    ...listTeamLines(side, half, context),
    ...listQueueBlockers(side, half),
    ...listTargetBlockers(side, half),
  ];
}

/** Lists the contents of both halves after the split, and everything that blocks it. */
export function rehearseSplit(
  view: FleetView,
  split: Split,
  getEvidence: GetHostEvidence,
): readonly RehearsalLine[] {
  const halves = getHalves(view, split);
  const context = { view, split, halves, getEvidence };
  return [
    ...listHalf(SplitSide.Leaving, halves.leaving, context),
    ...listHalf(SplitSide.Staying, halves.staying, context),
    ...listMissingEntities(SplitSide.Leaving, EntityKind.Target, split.targets, view),
    ...listMissingEntities(SplitSide.Leaving, EntityKind.Host, split.hosts, view),
    ...listMissingEntities(SplitSide.Leaving, EntityKind.Team, split.teams, view),
    ...listHostBlockers(context),
    ...listWaveBlockers(context),
  ];
}
