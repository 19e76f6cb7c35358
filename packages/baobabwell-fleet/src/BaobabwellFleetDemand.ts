/**
 * Load pattern: the queues have demand bursts one after the other. Within a second or two, a queue
 * demands several times its mean while the others are nearly idle. The waiting tasks show the
 * present demand first; the rate at which work arrives shows the rest of the ramp. A second has only
 * about ten jobs, so that the rate varies by a third without any change of the demand. Tasks of some
 * queues require more memory than CPU.
 */

/** Demand on a pool, in thousandths of a core unless stated otherwise. */
export type PoolLoad = {
  /** Long running tasks. */
  readonly longRunningCpuMillis: number;
  /** Minimum number of hosts over which the long running tasks can be spread as specified. */
  readonly longRunningHosts: number;
  /** Other tasks that are running. */
  readonly runningCpuMillis: number;
  /** Other tasks that are ready and wait for free capacity. */
  readonly waitingCpuMillis: number;
  /**
   * Work that arrived in the last second and in the second before it, each as a mean over its
   * second.
   */
  readonly arrivingCpuMillis: number;
  readonly previousArrivingCpuMillis: number;
  /** Jobs that arrived in the last second. */
  readonly arrivingJobs: number;
  /** Memory of the long running tasks, and of the others that are running or wait, in MB. */
  readonly longRunningMemoryMb: number;
  readonly currentMemoryMb: number;
};

/** Factor on the current demand for work that arrives while a machine is joining the pool. */
const ARRIVING_WORK_FACTOR = 1.2;

/**
 * Factor by which the increase of the last second is expected to continue while a machine is
 * joining.
 */
const RISE_FACTOR = 1.2;

/** Share of the capacity of hosts that is expected to be usable: tasks do not fill hosts evenly. */
const USABLE_SHARE = 0.92;

/**
 * Returns the increase of the rate at which work arrives as far as it exceeds what jobs that arrive
 * independently of each other show by chance.
 */
function getIncrease(load: PoolLoad): number {
  const { arrivingCpuMillis, previousArrivingCpuMillis, arrivingJobs } = load;
  const bothCpu = arrivingCpuMillis + previousArrivingCpuMillis;
  const jobs = arrivingCpuMillis > 0 ? (arrivingJobs * bothCpu) / arrivingCpuMillis : 0;
  const deviation = bothCpu / Math.sqrt(Math.max(1, jobs));
  return Math.max(0, arrivingCpuMillis - previousArrivingCpuMillis - deviation);
}

/** Returns the rate at which work arrives: of two seconds unless it is increasing. */
function getArrivalRate({ arrivingCpuMillis, previousArrivingCpuMillis }: PoolLoad): number {
  return Math.min(arrivingCpuMillis, (arrivingCpuMillis + previousArrivingCpuMillis) / 2);
}

/** Estimates the CPU that a pool will require by the time a machine could join it. */
export function getDesiredCpu(load: PoolLoad): number {
  const currentCpu = load.runningCpuMillis + load.waitingCpuMillis;
  const increase = getIncrease(load);
  const forecastCpu =
    increase > 0 ? load.arrivingCpuMillis + RISE_FACTOR * increase : getArrivalRate(load);
  return (
    load.longRunningCpuMillis +
    ARRIVING_WORK_FACTOR * Math.max(currentCpu, Math.min(forecastCpu, 2 * currentCpu))
  );
}

/** Size of a host, and the minimum number of hosts in the pool. */
export type HostSize = {
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly minHosts: number;
};

function divide(need: number, size: number): number {
  return size <= 0 ? 0 : need / (size * USABLE_SHARE);
}

function countHosts(
  need: { readonly cpuMillis: number; readonly memoryMb: number },
  { longRunningHosts }: PoolLoad,
  size: HostSize,
): number {
  const byResource = Math.max(
    divide(need.cpuMillis, size.cpuMillis),
    divide(need.memoryMb, size.memoryMb),
  );
  return Math.max(size.minHosts, longRunningHosts, Math.ceil(byResource));
}

/** Estimates the number of hosts that a pool will require by the time a machine could join it. */
export function getDesiredHosts(load: PoolLoad, size: HostSize): number {
  const cpuMillis = getDesiredCpu(load);
  const currentCpu = load.longRunningCpuMillis + load.runningCpuMillis + load.waitingCpuMillis;
  const growth = currentCpu <= 0 ? 1 : cpuMillis / currentCpu;
  const memoryMb = load.longRunningMemoryMb + load.currentMemoryMb * growth;
  return countHosts({ cpuMillis, memoryMb }, load, size);
}

/** Returns the number of hosts that a pool requires for its long running tasks alone. */
export function getBaseHosts(load: PoolLoad | undefined, size: HostSize): number {
  return load === undefined
    ? size.minHosts
    : countHosts(
        { cpuMillis: load.longRunningCpuMillis, memoryMb: load.longRunningMemoryMb },
        load,
        size,
      );
}

/** Returns the number of hosts that the running and the waiting tasks of a pool require now. */
export function getRequiredHosts(load: PoolLoad, size: HostSize): number {
  const { longRunningCpuMillis, runningCpuMillis, waitingCpuMillis } = load;
  return countHosts(
    {
      cpuMillis: longRunningCpuMillis + runningCpuMillis + waitingCpuMillis,
      memoryMb: load.longRunningMemoryMb + load.currentMemoryMb,
    },
    load,
    size,
  );
}
