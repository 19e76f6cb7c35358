/**
 * Load pattern: a few tasks crash each host on which they start, and all hosts are busy. Each such task
 * starts on a host that received no other work while the task waited, so that the crash harms few runs
 * and shows its cause.
 */
import type { PlacementHost, PlacementSnapshot } from './BaobabwellPlacementModel';
import type { Task } from '@baobabwell/jobs';

import { CrashSuspicion, TaskPhase } from '@baobabwell/jobs';

/** Share of the hosts of a pool that are reserved at most, beyond the first one. */
const MAX_RESERVED_SHARE = 0.125;

/** Time after the backoff of a task for which a host is reserved for it, in ms. */
const RESERVATION_MS = 2_000;

function requiresHost({ phase, crashes, notBeforeMs, isWithheld }: Task, nowMs: number): boolean {
  return (
    phase === TaskPhase.Waiting &&
    !isWithheld &&
    crashes.suspicion === CrashSuspicion.Strong &&
    nowMs < notBeforeMs + RESERVATION_MS
  );
}

/** Counts the tasks for which a host is to be reserved, by pool. */
function countTasks({ steps, nowMs }: PlacementSnapshot): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  steps
    .filter(({ step }) => !step.spec.isGang)
    .forEach(({ step, pool }) => {
      const count = step.tasks.filter((task) => requiresHost(task, nowMs)).length;
      if (count > 0) {
        counts.set(pool, (counts.get(pool) ?? 0) + count);
      }
    });
  return counts;
}

function compareLoad(left: PlacementHost, right: PlacementHost): number {
  return left.runCount - right.runCount || left.id.localeCompare(right.id);
}

/** Decides which hosts receive only tasks that probably crash them; every pool keeps a host for others. */
export function decideReservedHosts(snapshot: PlacementSnapshot): ReadonlySet<string> {
  const reserved = new Set<string>();
  if (snapshot.hasSuspects === false) {
    return reserved;
  }
  countTasks(snapshot).forEach((count, pool) => {
    const hosts = (snapshot.hosts.get(pool) ?? []).filter(
      ({ ejectedOffer }) => ejectedOffer === null,
    );
    const maxCount = Math.max(1, Math.floor(hosts.length * MAX_RESERVED_SHARE));
    hosts
      .toSorted(compareLoad)
      .slice(0, Math.min(count, maxCount, hosts.length - 1))
      .forEach(({ id }) => reserved.add(id));
  });
  return reserved;
}
