import type { TermContext } from './BaobabwellControllerContext';
import type { DurationEstimator } from '@baobabwell/durations';
import type { PoolLoad } from '@baobabwell/fleet';
import type { Job, Step } from '@baobabwell/jobs';

import { findQueueOfJob } from '@baobabwell/fleet';
import { getCpuWork } from '@baobabwell/placement';

const SECOND_MS = 1_000;

type MutableLoad = { -readonly [Field in keyof PoolLoad]: PoolLoad[Field] };

function createLoad(): MutableLoad {
  return {
    longRunningCpuMillis: 0,
    longRunningHosts: 0,
    runningCpuMillis: 0,
    waitingCpuMillis: 0,
    arrivingCpuMillis: 0,
    previousArrivingCpuMillis: 0,
    arrivingJobs: 0,
    longRunningMemoryMb: 0,
    currentMemoryMb: 0,
  };
}

function addArrival(
  load: MutableLoad,
  { record }: Job,
  durations: DurationEstimator,
  ageMs: number,
): void {
  const changed = load;
  const work = getCpuWork(record.spec, record.queue, durations) / SECOND_MS;
  if (ageMs < SECOND_MS) {
    changed.arrivingCpuMillis += work;
    changed.arrivingJobs += 1;
  } else if (ageMs < 2 * SECOND_MS) {
    changed.previousArrivingCpuMillis += work;
  }
}

function addStep(load: MutableLoad, { spec, placedCount, waitingCount }: Step): void {
  const changed = load;
  if (spec.isLasting) {
    changed.longRunningCpuMillis += spec.isFilling ? 0 : spec.taskCount * spec.need.cpuMillis;
    changed.longRunningMemoryMb += spec.isFilling ? 0 : spec.taskCount * spec.need.memoryMb;
    const hosts = spec.maxPerHost === 0 ? 1 : Math.ceil(spec.taskCount / spec.maxPerHost);
    changed.longRunningHosts = Math.max(changed.longRunningHosts, hosts);
    return;
  }
  changed.runningCpuMillis += placedCount * spec.need.cpuMillis;
  changed.waitingCpuMillis += waitingCount * spec.need.cpuMillis;
  changed.currentMemoryMb += (placedCount + waitingCount) * spec.need.memoryMb;
}

/** Computes the load of each pool from the demand of its jobs. */
export function getPoolLoads({
  jobRegistry,
  clock,
  durations,
  getConfiguration,
}: TermContext): ReadonlyMap<string, PoolLoad> {
  const loads = new Map<string, MutableLoad>();
  const configuration = getConfiguration();
  const wallMs = clock.getWallTime();
  configuration?.queues.forEach(({ pool }) => loads.set(pool, loads.get(pool) ?? createLoad()));
  const findLoad = ({ record }: Job): MutableLoad | undefined => {
    const pool = findQueueOfJob(configuration, record)?.pool;
    // The route of a job may be gone, and with it the last one of its pool.
    if (pool !== undefined && !loads.has(pool)) {
      loads.set(pool, createLoad());
    }
    return loads.get(pool ?? '');
  };
  jobRegistry.listArrivedJobs(wallMs - 2 * SECOND_MS).forEach((job) => {
    const load = findLoad(job);
    if (load !== undefined && !job.record.spec.steps.some((step) => step.isLasting)) {
      addArrival(load, job, durations, wallMs - job.record.acceptedAtMs);
    }
  });
  jobRegistry.listOpenJobs().forEach((job) => {
    const load = findLoad(job);
    if (load !== undefined) {
      jobRegistry.listReadySteps(job, wallMs).forEach((step) => addStep(load, step));
    }
  });
  return loads;
}
