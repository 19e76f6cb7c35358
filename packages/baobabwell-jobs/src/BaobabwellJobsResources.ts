import type { Resources } from './BaobabwellJobsModel';

export const NO_RESOURCES: Resources = { cpuMillis: 0, memoryMb: 0, gpus: 0 };

export function addResources(left: Resources, right: Resources): Resources {
  return {
    cpuMillis: left.cpuMillis + right.cpuMillis,
    memoryMb: left.memoryMb + right.memoryMb,
    gpus: left.gpus + right.gpus,
  };
}

/** Returns true if a need is at most what is free, in every dimension. */
export function fitsInto(need: Resources, free: Resources): boolean {
  return (
    need.cpuMillis <= free.cpuMillis && need.memoryMb <= free.memoryMb && need.gpus <= free.gpus
  );
}
