/**
 * Load pattern: a data centre is evacuated while the others have little free capacity. A long running task
 * leaves its host only when another host has room for it now, and only as many tasks of a step leave at
 * once as it can miss. All others keep working where they are until room becomes free.
 */
import type { PlacementHost } from './BaobabwellPlacementModel';
import type { Step, Task } from '@baobabwell/jobs';

/** A host that a task may move to. */
export type RelocationHost = Pick<PlacementHost, 'id' | 'labels' | 'freeResources'>;

/** Input of `decideRelocations`. */
export type RelocationSnapshot = {
  /** Long running tasks that are at work on hosts that they are to leave, with their pools. */
  readonly leaving: readonly { readonly task: Task; readonly pool: string }[];
  /** Hosts that take new work, by pool. */
  readonly hosts: ReadonlyMap<string, readonly RelocationHost[]>;
  /** Returns the number of further tasks of a step that may be unavailable. */
  readonly countMayMiss: (step: Step) => number;
};

type FreeHost = {
  readonly host: RelocationHost;
  cpuMillis: number;
  memoryMb: number;
  gpus: number;
  readonly stepCounts: Map<Step, number>;
};

function fits({ step }: Task, { host, cpuMillis, memoryMb, gpus, stepCounts }: FreeHost): boolean {
  const { need, isFilling, hostLabel, maxPerHost } = step.spec;
  const count = step.countRunsOnHost(host.id) + (stepCounts.get(step) ?? 0);
  return (
    (isFilling || need.cpuMillis <= cpuMillis) &&
    need.memoryMb <= memoryMb &&
    need.gpus <= gpus &&
    (hostLabel === null || host.labels.includes(hostLabel)) &&
    (maxPerHost === 0 || count < maxPerHost)
  );
}

function reserve({ step }: Task, reserved: FreeHost): void {
  const { need, isFilling } = step.spec;
  const free = reserved;
  free.cpuMillis -= isFilling ? 0 : need.cpuMillis;
  free.memoryMb -= need.memoryMb;
  free.gpus -= need.gpus;
  free.stepCounts.set(step, (free.stepCounts.get(step) ?? 0) + 1);
}

/** Decides which long running tasks are stopped now, so that they start again on other hosts. */
export function decideRelocations(snapshot: RelocationSnapshot): readonly Task[] {
  const freeHosts = new Map(
    [...snapshot.hosts].map(([pool, hosts]) => [
      pool,
      hosts.map((host) => ({ host, ...host.freeResources, stepCounts: new Map<Step, number>() })),
    ]),
  );
  const mayMiss = new Map<Step, number>();
  return snapshot.leaving
    .filter(({ task, pool }) => {
      const { step } = task;
      const remaining = mayMiss.get(step) ?? snapshot.countMayMiss(step);
      const target = freeHosts.get(pool)?.find((host) => fits(task, host));
      mayMiss.set(step, remaining);
      if (remaining <= 0 || target === undefined) {
        return false;
      }
      mayMiss.set(step, remaining - 1);
      reserve(task, target);
      return true;
    })
    .map(({ task }) => task);
}
