/**
 * Load pattern: one host in twenty fails all that it starts, so that it is always the emptiest and receives
 * the most work; another one runs everything at a sixth of the usual speed. In a burst, most of a wide step
 * then waits for the tasks on such hosts. A rack that loses its cooling turns slow as a whole.
 */
import type { Ejection, HealthHost, HostEvidence, PoolHealth } from './BaobabwellHostHealthModel';

import { HostFault } from './BaobabwellHostHealthModel';

/** Blame and distinct jobs from which a host counts as failing. */
const MIN_BLAME = 2;
const MIN_FAILED_JOBS = 2;

/** Share of failed runs from which a host counts as failing. */
const MIN_FAILED_SHARE = 0.6;

/** Multiple of the usual duration from which a host counts as slow. */
const MIN_SLOWNESS = 2.5;

/** Share of the hosts of a pool that may be ejected one by one; at least one may. */
const MAX_EJECTED_SHARE = 0.15;

/** Share of a rack or data centre that has to be bad before all of it is ejected. */
const BAD_GROUP_SHARE = 0.5;

/** Minimum number of bad hosts in such a group. */
const MIN_BAD_GROUP_HOSTS = 3;

/** Share of the hosts of a pool that always remain, whatever was found. */
const MIN_REMAINING_SHARE = 0.5;

/** Finds what is wrong with a host; `null` if nothing is. */
export function findFault(evidence: HostEvidence, usualSlowness: number): HostFault | null {
  const { blame, failedJobs, failedShare, slowness } = evidence;
  if (blame >= MIN_BLAME && failedJobs >= MIN_FAILED_JOBS && failedShare >= MIN_FAILED_SHARE) {
    return HostFault.Failing;
  }
  return slowness !== null && slowness >= MIN_SLOWNESS * Math.max(1, usualSlowness)
    ? HostFault.Slow
    : null;
}

function listFaults({ hosts, evidence, usualSlowness, ejected }: PoolHealth) {
  const faults = new Map<string, HostFault>();
  hosts.forEach(({ id }) => {
    const known = evidence.get(id);
    const fault =
      ejected.get(id)?.fault ?? (known === undefined ? null : findFault(known, usualSlowness));
    if (fault !== null) {
      faults.set(id, fault);
    }
  });
  return faults;
}

/** Finds the racks and data centres that are bad as a whole, the smallest first. */
function listBadGroups(
  hosts: readonly HealthHost[],
  faults: ReadonlyMap<string, HostFault>,
): readonly { readonly group: string; readonly members: readonly HealthHost[] }[] {
  const members = new Map<string, HealthHost[]>();
  hosts.forEach((host) =>
    host.groups.forEach((group) => members.set(group, [...(members.get(group) ?? []), host])),
  );
  return [...members]
    .map(([group, list]) => ({ group, members: list }))
    .filter(({ members: list }) => {
      const badCount = list.filter(({ id }) => faults.has(id)).length;
      return badCount >= MIN_BAD_GROUP_HOSTS && badCount >= BAD_GROUP_SHARE * list.length;
    })
    .toSorted((left, right) => left.members.length - right.members.length);
}

/** Returns the evidence for a fault as a number by which the worst hosts sort first. */
function getSeverity(evidence: HostEvidence | undefined): number {
  return (evidence?.blame ?? 0) + (evidence?.slowness ?? 0);
}

/** Decides which hosts of a pool receive no work. */
export function decideEjections(pool: PoolHealth): ReadonlyMap<string, Ejection> {
  const { hosts, evidence, ejected } = pool;
  const faults = listFaults(pool);
  const decided = new Map<string, Ejection>();
  const maxTotal = Math.floor(hosts.length * (1 - MIN_REMAINING_SHARE));
  listBadGroups(hosts, faults).forEach(({ group, members }) => {
    const added = members.filter(({ id }) => !decided.has(id));
    if (decided.size + added.length <= maxTotal) {
      const fault = members.flatMap(({ id }) => faults.get(id) ?? [])[0] ?? HostFault.Slow;
      added.forEach(({ id }) => decided.set(id, { fault: faults.get(id) ?? fault, group }));
    }
  });
  const maxSingle = Math.max(1, Math.floor(hosts.length * MAX_EJECTED_SHARE));
  [...faults]
    .filter(([id]) => !decided.has(id))
    // Hosts that are out stay out, so that the bound never swaps one bad host for another.
    .toSorted(
      ([left], [right]) =>
        Number(ejected.has(right)) - Number(ejected.has(left)) ||
        getSeverity(evidence.get(right)) - getSeverity(evidence.get(left)),
    )
    .slice(0, Math.max(0, Math.min(maxSingle, maxTotal - decided.size)))
    .forEach(([id, fault]) => decided.set(id, { fault, group: null }));
  return decided;
}
