import type { PlacementHost } from './BaobabwellPlacementModel';
import type { Resources, Step } from '@baobabwell/jobs';

/** What is left of a host during one placement pass. */
export type HostCapacity = {
  readonly host: PlacementHost;
  cpuMillis: number;
  memoryMb: number;
  gpus: number;
  readonly stepCounts: Map<Step, number>;
  bestEffortCount: number;
  servingCount: number;
  runCount: number;
  startingCount: number;
  /** Step of the suspect that starts on the host in this pass. */
  suspectStep: Step | null;
  /** What is left of the offer of an ejected host. */
  probeCpuMillis: number;
  probeMemoryMb: number;
  probeCount: number;
  soleCount: number;
};

/** Creates the state of a host at the begin of a pass. */
export function createHostCapacity(host: PlacementHost): HostCapacity {
  const { servingCount, bestEffortCount, runCount, startingCount, ejectedOffer } = host;
  return {
    host,
    ...host.freeResources,
    stepCounts: new Map(),
    servingCount,
    bestEffortCount,
    runCount,
    startingCount,
    suspectStep: null,
    probeCpuMillis: ejectedOffer?.probeResources.cpuMillis ?? Infinity,
    probeMemoryMb: ejectedOffer?.probeResources.memoryMb ?? Infinity,
    probeCount: ejectedOffer?.probeCount ?? Infinity,
    soleCount: ejectedOffer?.soleCount ?? Infinity,
  };
}

/** Returns true for a host that is not ejected. */
export function isAdmitted({ host }: HostCapacity): boolean {
  return host.ejectedOffer === null;
}

/** Returns true if a task of a step requires no more than some resources. */
export function fitsStep({ spec: { need, isFilling } }: Step, free: Resources): boolean {
  return (
    (isFilling || need.cpuMillis <= free.cpuMillis) &&
    need.memoryMb <= free.memoryMb &&
    need.gpus <= free.gpus
  );
}

/** Returns true if a host offers a task of a step as much as it requires, although it may be ejected. */
export function fitsOffer(step: Step, capacity: HostCapacity): boolean {
  const { probeCpuMillis: cpuMillis, probeMemoryMb: memoryMb, probeCount, gpus } = capacity;
  return probeCount > 0 && fitsStep(step, { cpuMillis, memoryMb, gpus });
}

/** Returns the largest amounts of each resource. */
export function findLargest(all: readonly Resources[]): Resources {
  const largest = { cpuMillis: -Infinity, memoryMb: -Infinity, gpus: -Infinity };
  all.forEach(({ cpuMillis, memoryMb, gpus }) => {
    largest.cpuMillis = Math.max(largest.cpuMillis, cpuMillis);
    largest.memoryMb = Math.max(largest.memoryMb, memoryMb);
    largest.gpus = Math.max(largest.gpus, gpus);
  });
  return largest;
}
