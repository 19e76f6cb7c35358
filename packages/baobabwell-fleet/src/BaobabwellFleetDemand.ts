/**
 * Load pattern: the queues have demand bursts one after the other. Within a second or two, a queue
 * demands several times its mean while the others are nearly idle. The waiting tasks show the
 * present demand first; the rate at which work arrives shows the rest of the ramp.
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

/** Estimates the CPU that a pool will require by the time a machine could join it. */
export function getDesiredCpu(load: PoolLoad): number {
  const currentCpu = load.runningCpuMillis + load.waitingCpuMillis;
  const increase = Math.max(0, load.arrivingCpuMillis - load.previousArrivingCpuMillis);
  const forecastCpu = load.arrivingCpuMillis + RISE_FACTOR * increase;
  return (
    load.longRunningCpuMillis +
    ARRIVING_WORK_FACTOR * Math.max(currentCpu, Math.min(forecastCpu, 2 * currentCpu))
  );
}

/** CPU of a host, and the minimum number of hosts in the pool. */
export type HostSize = { readonly cpuMillis: number; readonly minHosts: number };

function countHosts(cpuMillis: number, { longRunningHosts }: PoolLoad, size: HostSize): number {
  const byCpu = size.cpuMillis <= 0 ? 0 : cpuMillis / (size.cpuMillis * USABLE_SHARE);
  return Math.max(size.minHosts, longRunningHosts, Math.ceil(byCpu));
}

/** Estimates the number of hosts that a pool will require by the time a machine could join it. */
export function getDesiredHosts(load: PoolLoad, size: HostSize): number {
  return countHosts(getDesiredCpu(load), load, size);
}

/** Returns the number of hosts that a pool requires for its long running tasks alone. */
export function getBaseHosts(load: PoolLoad | undefined, size: HostSize): number {
  return load === undefined ? size.minHosts : countHosts(load.longRunningCpuMillis, load, size);
}

/** Returns the number of hosts that the running and the waiting tasks of a pool require now. */
export function getRequiredHosts(load: PoolLoad, size: HostSize): number {
  const { longRunningCpuMillis, runningCpuMillis, waitingCpuMillis } = load;
  return countHosts(longRunningCpuMillis + runningCpuMillis + waitingCpuMillis, load, size);
}
