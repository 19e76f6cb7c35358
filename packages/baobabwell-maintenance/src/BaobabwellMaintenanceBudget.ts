import type { GetHostEvidence, HostEvidence, MaintenanceRefusal } from './BaobabwellMaintenance';
import type { FleetView, Host, Pool } from '@baobabwell/model';

import { EntityKind, HostState } from '@baobabwell/model';

/** A host that does not count as serving, and why. */
export type OutOfService = {
  readonly host: string;
  readonly rack: string;
  readonly why: string;
  /** True when it was taken out on purpose. */
  readonly isPlanned: boolean;
};

/** The availability budget of a pool at one moment. */
export type PoolBudget = {
  readonly pool: Pool;
  readonly total: number;
  readonly serving: number;
  readonly out: readonly OutOfService[];
};

const PLANNED_STATES: ReadonlySet<HostState> = new Set([
  HostState.Draining,
  HostState.Drained,
  HostState.Rebooting,
]);

/** Finds why a host does not count as serving, or `null` when it does. */
export function findOutage(host: Host, evidence: HostEvidence): string | null {
  if (host.state !== HostState.Serving) {
    return host.state;
  }
  if (evidence.isListed === false) {
    return 'not in the host list';
  }
  return evidence.isReachable === false ? 'probe failed' : null;
}

/** Whether a host is out of service on purpose, to come back; one that has left does not. */
export function isPlannedOut({ state, maintenance }: Host): boolean {
  const hasLeft = state === HostState.Drained && (maintenance?.split ?? null) !== null;
  return PLANNED_STATES.has(state) && !hasLeft;
}

/** Counts what serves in a pool and what is out, for any reason. */
export function getPoolBudget(
  view: FleetView,
  pool: Pool,
  getEvidence: GetHostEvidence,
): PoolBudget {
  const hosts = view.listHosts(pool.id);
  const out = hosts.flatMap((host) => {
    const why = findOutage(host, getEvidence(host.id));
    return why === null
      ? []
      : [{ host: host.id, rack: host.rack, why, isPlanned: isPlannedOut(host) }];
  });
  return { pool, total: hosts.length, serving: hosts.length - out.length, out };
}

function formatOut(out: readonly OutOfService[]): string {
  return out.length === 0
    ? 'nothing is out'
    : `out: ${out.map(({ host, why }) => `${host} (${why})`).join(', ')}`;
}

function checkCount(budget: PoolBudget, isOutAlready: boolean): MaintenanceRefusal | null {
  const { pool, serving, out } = budget;
  const remaining = serving - (isOutAlready ? 0 : 1);
  if (isOutAlready || remaining >= pool.minimumServing) {
    return null;
  }
  const need = `pool ${pool.id} has ${serving} serving hosts and needs ${pool.minimumServing}`;
  return { code: 'not-allowed', message: `${need}; ${formatOut(out)}` };
}

/**
 * Planned outages of a pool keep to one rack, unless enough would serve even with every host
 * of these racks out.
 */
function checkRacks(view: FleetView, host: Host, budget: PoolBudget): MaintenanceRefusal | null {
  const { pool, out } = budget;
  const planned = out.filter((one) => one.isPlanned && one.host !== host.id);
  const racks = new Set([host.rack, ...planned.map(({ rack }) => rack)]);
  if (racks.size === 1) {
    return null;
  }
  const outHosts = new Set(out.map((one) => one.host));
  const remaining = view
    .listHosts(pool.id)
    .filter(({ id, rack }) => !racks.has(rack) && !outHosts.has(id)).length;
  return remaining >= pool.minimumServing
    ? null
    : {
        code: 'not-allowed',
        message: `pool ${pool.id} has planned outages in another rack; ${formatOut(planned)}`,
      };
}

/**
 * Checks whether a host may be out of service on purpose.
 *
 * @returns why not, or `null`.
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
  const isOutAlready = budget.out.some((one) => one.host === host.id);
  return checkCount(budget, isOutAlready) ?? checkRacks(view, host, budget);
}

/**
 * Checks, right before a drained host is rebooted, that its pool still has enough without it.
 *
 * @returns why it must not be rebooted now, or `null`.
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
  const { serving, out } = getPoolBudget(view, pool, getEvidence);
  return serving >= pool.minimumServing
    ? null
    : {
        code: 'not-allowed',
        message: `pool ${pool.id} has ${serving} serving hosts and needs ${pool.minimumServing}; ${formatOut(out)}`,
      };
}
