/**
 * Load pattern: each queue in its turn asks for several times its mean, within a second or two, while
 * the others are nearly idle. What is asked for right now shows first in the tasks that wait; the rate
 * at which work arrives shows the rest of the ramp.
 */

/** What a pool's work asks of it, in thousandths of a core unless said otherwise. */
export type PoolLoad = {
  /** Tasks that last. */
  readonly lastingCpuMillis: number;
  /** Fewest hosts on which these can be spread as asked. */
  readonly lastingHosts: number;
  /** Other tasks that run. */
  readonly runningCpuMillis: number;
  /** Other tasks that could run if there were room. */
  readonly waitingCpuMillis: number;
  /** Work that arrived in the last second and in the second before, as a mean over each. */
  readonly arrivingCpuMillis: number;
  readonly arrivedBeforeCpuMillis: number;
  /** Jobs that arrived in the last second. */
  readonly arrivingJobs: number;
};

/** Room for what arrives while a machine is on its way. */
const HEADROOM = 1.2;

/** Share of a rise within a second that is expected to go on while a machine is on its way. */
const RISE_SHARE = 1.2;

/** Share of the hosts' room that is expected to be usable: tasks do not fill hosts evenly. */
const USABLE_SHARE = 0.92;

/** Estimates the room that a pool needs in about the time that a machine takes to join it. */
export function getWantedCpu(load: PoolLoad): number {
  const present = load.runningCpuMillis + load.waitingCpuMillis;
  const rise = Math.max(0, load.arrivingCpuMillis - load.arrivedBeforeCpuMillis);
  const forecast = load.arrivingCpuMillis + RISE_SHARE * rise;
  return load.lastingCpuMillis + HEADROOM * Math.max(present, Math.min(forecast, 2 * present));
}

/** What hosts of one size hold, and how many of them a pool has at least. */
export type HostSize = { readonly cpuMillis: number; readonly leastHosts: number };

function countHosts(cpuMillis: number, { lastingHosts }: PoolLoad, size: HostSize): number {
  const byCpu = size.cpuMillis <= 0 ? 0 : cpuMillis / (size.cpuMillis * USABLE_SHARE);
  return Math.max(size.leastHosts, lastingHosts, Math.ceil(byCpu));
}

/** Number of hosts that a pool would need in about the time that a machine takes to join it. */
export function getWantedHosts(load: PoolLoad, size: HostSize): number {
  return countHosts(getWantedCpu(load), load, size);
}

/** Number of hosts that a pool needs while nothing but tasks that last is asked of it. */
export function getBaseHosts(load: PoolLoad | undefined, size: HostSize): number {
  return load === undefined ? size.leastHosts : countHosts(load.lastingCpuMillis, load, size);
}

/** Number of hosts that hold what a pool runs and what waits for room there now. */
export function getNeededHosts(load: PoolLoad, size: HostSize): number {
  const { lastingCpuMillis, runningCpuMillis, waitingCpuMillis } = load;
  return countHosts(lastingCpuMillis + runningCpuMillis + waitingCpuMillis, load, size);
}
