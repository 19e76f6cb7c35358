import type { TermContext } from './BaobabwellControllerContext';
import type { PoolUsage, ReadyWork } from '@baobabwell/fairness';
import type { Resources } from '@baobabwell/jobs';

import { addResources, fitsInto, NO_RESOURCES } from '@baobabwell/jobs';

function addTo(sums: Map<string, Resources>, key: string, change: Resources): void {
  sums.set(key, addResources(sums.get(key) ?? NO_RESOURCES, change));
}

/**
 * Lists the pools in which not all ready work fits, with their capacity beyond that of long running tasks
 * and what each organisation uses of it.
 */
export function listContendedPools(
  { hosts, clock }: TermContext,
  work: readonly ReadyWork[],
): ReadonlyMap<string, PoolUsage> {
  const nowMs = clock.getNow();
  const needs = new Map<string, Resources>();
  work.forEach(({ pool, need }) => addTo(needs, pool, need));
  const usable = [...hosts.values()].filter(
    (host) => needs.has(host.pool) && host.canTakeWork(nowMs),
  );
  const free = new Map<string, Resources>();
  usable.forEach((host) => addTo(free, host.pool, host.getFreeResources()));
  const contended = new Map<string, { capacity: Resources; used: Map<string, Resources> }>();
  needs.forEach((need, pool) => {
    const poolFree = free.get(pool);
    if (poolFree !== undefined && !fitsInto(need, poolFree)) {
      contended.set(pool, { capacity: poolFree, used: new Map() });
    }
  });
  usable.forEach((host) => {
    const poolUsage = contended.get(host.pool);
    if (poolUsage === undefined) {
      return;
    }
    host.runs.forEach(({ task: { step } }) => {
      const { need, isFilling, isLasting } = step.spec;
      if (!isLasting) {
        const used = isFilling ? { ...need, cpuMillis: 0 } : need;
        addTo(poolUsage.used, step.job.record.organisation ?? '', used);
        poolUsage.capacity = addResources(poolUsage.capacity, used);
      }
    });
  });
  return contended;
}
