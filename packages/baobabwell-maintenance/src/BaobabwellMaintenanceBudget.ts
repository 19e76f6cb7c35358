import type { GetHostEvidence, HostEvidence, MaintenanceRefusal } from './BaobabwellMaintenance';
import type { FleetView, Host, Pool } from '@baobabwell/model';

import { EntityKind, HostState } from '@baobabwell/model';

/** A host that is out of service, and the reason. */
export type HostOutage = {
  readonly host: string;
  readonly rack: string;
  readonly reason: string;
  /** Whether planned maintenance took the host out of service. */
  readonly isPlanned: boolean;
};

/** The availability budget of a pool at one moment. */
export type PoolBudget = {
  readonly pool: Pool;
  readonly total: number;
  readonly serving: number;
  readonly outages: readonly HostOutage[];
};

const PLANNED_STATES: ReadonlySet<HostState> = new Set([
  HostState.Draining,
  HostState.Drained,
  HostState.Rebooting,
]);

/** Returns why a host does not count as serving, or `null` if it does. */
export function findOutageReason(host: Host, evidence: HostEvidence): string | null {
  if (host.state !== HostState.Serving) {
    return host.state;
  }
  if (evidence.isListed === false) {
    return 'not in the host list';
  }
  return evidence.isReachable === false ? 'probe failed' : null;
}

/**
 * Returns whether a host is out of service for planned maintenance and will return. A host that
 * was drained for a split does not return.
 */
export function isPlannedOutage({ state, maintenance }: Host): boolean {
  const hasLeftFleet = state === HostState.Drained && (maintenance?.split ?? null) !== null;
  return PLANNED_STATES.has(state) && !hasLeftFleet;
}

/** Counts the serving hosts of a pool and lists its outages, planned and unplanned. */
export function getPoolBudget(
  view: FleetView,
  pool: Pool,
  getEvidence: GetHostEvidence,
): PoolBudget {
  const hosts = view.listHosts(pool.id);
  const outages = hosts.flatMap((host) => {
    const reason = findOutageReason(host, getEvidence(host.id));
    return reason === null
      ? []
      : [{ host: host.id, rack: host.rack, reason, isPlanned: isPlannedOutage(host) }];
  });
  return { pool, total: hosts.length, serving: hosts.length - outages.length, outages };
}

function formatOutages(outages: readonly HostOutage[]): string {
  return outages.length === 0
    ? 'no host is out of service'
    : `out of service: ${outages.map(({ host, reason }) => `${host} (${reason})`).join(', ')}`;
}

function checkMinimumServing(budget: PoolBudget, isAlreadyOut: boolean): MaintenanceRefusal | null {
  const { pool, serving, outages } = budget;
  const remaining = serving - (isAlreadyOut ? 0 : 1);
  if (isAlreadyOut || remaining >= pool.minimumServing) {
    return null;
  }
  const shortage = `pool ${pool.id} has ${serving} serving hosts and needs ${pool.minimumServing}`;
  return { code: 'not-allowed', message: `${shortage}; ${formatOutages(outages)}` };
}

/**
 * Limits the planned outages of a pool to one rack, unless enough hosts would still serve with
 * every host of the affected racks out of service.
 */
function checkRacks(view: FleetView, host: Host, budget: PoolBudget): MaintenanceRefusal | null {
  const { pool, outages } = budget;
  const planned = outages.filter((outage) => outage.isPlanned && outage.host !== host.id);
  const racks = new Set([host.rack, ...planned.map(({ rack }) => rack)]);
  if (racks.size === 1) {
    return null;
  }
  const unavailableHosts = new Set(outages.map((outage) => outage.host));
  const remaining = view
    .listHosts(pool.id)
    .filter(({ id, rack }) => !racks.has(rack) && !unavailableHosts.has(id)).length;
  return remaining >= pool.minimumServing
    ? null
    : {
        code: 'not-allowed',
        message: `pool ${pool.id} has planned outages in another rack; ${formatOutages(planned)}`,
      };
}

/**
 * Checks whether a host may be taken out of service for planned maintenance.
 *
 * @returns the refusal, or `null` if the host may be taken out.
 */
export function checkTakeOut(
  view: FleetView,
  host: Host,
  getEvidence: GetHostEvidence,
): MaintenanceRefusal | null {
  const pool = view.get(EntityKind.Pool, host.pool);
  if (pool === null) {
    return null;
  }
  const budget = getPoolBudget(view, pool, getEvidence);
  const isAlreadyOut = budget.outages.some((outage) => outage.host === host.id);
  return checkMinimumServing(budget, isAlreadyOut) ?? checkRacks(view, host, budget);
}

/**
 * Checks, immediately before a drained host is rebooted, that its pool still has enough serving
 * hosts without it.
 *
 * @returns the refusal, or `null` if the host may be rebooted.
 */
export function checkReboot(
  view: FleetView,
  host: Host,
  getEvidence: GetHostEvidence,
): MaintenanceRefusal | null {
  const pool = view.get(EntityKind.Pool, host.pool);
  if (pool === null) {
    return null;
  }
  const { serving, outages } = getPoolBudget(view, pool, getEvidence);
  return serving >= pool.minimumServing
    ? null
    : {
        code: 'not-allowed',
        message: `pool ${pool.id} has ${serving} serving hosts and needs ${pool.minimumServing}; ${formatOutages(outages)}`,
      };
}
