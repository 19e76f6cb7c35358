/**
 * Load pattern: half of the machines are due for maintenance within half a minute, while queues
 * have their demand bursts. Machines that are switched off or idle go first, which costs nothing. A
 * machine that runs tasks is drained before its maintenance, and only if the remaining time
 * requires it; machines with long running tasks are drained last. Some tasks run for longer than the wave
 * has left: their runs are stopped when the machine would be late otherwise.
 */

/** A machine that is due for maintenance. */
export type DueMachine = {
  readonly machine: string;
  readonly isSpare: boolean;
  readonly isUp: boolean;
  /** Nothing runs on it. */
  readonly isIdle: boolean;
  /** Long running tasks are on it. */
  readonly hasLongRunning: boolean;
  readonly usedCpuMillis: number;
  /** It already takes no new work. */
  readonly isDraining: boolean;
};

/** Progress of a maintenance wave. */
export type WaveProgress = {
  /** Time until the maintenance of all machines should be done, in ms. */
  readonly remainingMs: number;
  readonly maxDown: number;
  readonly downCount: number;
  readonly due: readonly DueMachine[];
  /** Time that the maintenance of one machine takes with its preparation, in ms. */
  readonly maintenanceMs: number;
};

/** Maintenance and drains that start now. */
export type WaveDecision = {
  /** Machines whose maintenance starts now. */
  readonly maintenanceStarts: readonly string[];
  /** Machines that take no new work and whose tasks are moved away. */
  readonly drains: readonly string[];
  /** Drained machines whose remaining runs are stopped, because the wave would be late otherwise. */
  readonly stops: readonly string[];
};

/** Share of the remaining time that is kept in reserve, so that no machine is late. */
const RESERVE_SHARE = 0.35;

/** Minimum of this reserve, in ms: tasks on a drained machine take that long to end. */
const MIN_RESERVE_MS = 4_000;

/** Time before the latest start of the maintenance at which runs are stopped, in ms. */
const STOP_LEAD_MS = 1_500;

/** Returns the minimum number of machines that must be down at once for the wave to end in time. */
function countRequiredDown({ remainingMs, maintenanceMs, maxDown, due }: WaveProgress): number {
  const reserveMs = Math.max(MIN_RESERVE_MS, remainingMs * RESERVE_SHARE);
  const usableMs = Math.max(0, remainingMs - reserveMs);
  const rounds = Math.floor(usableMs / maintenanceMs);
  return Math.min(maxDown, rounds <= 0 ? due.length : Math.ceil(due.length / rounds));
}

/** Returns true when the last machines of the wave are late unless they go down soon. */
function isRunningLate({ remainingMs, maintenanceMs, maxDown, due }: WaveProgress): boolean {
  const rounds = Math.ceil(due.length / Math.max(1, maxDown));
  return remainingMs - rounds * maintenanceMs < STOP_LEAD_MS;
}

function getDrainCost(due: DueMachine): number {
  const { isSpare, isIdle, hasLongRunning, usedCpuMillis, isDraining } = due;
  if (isSpare || isIdle) {
    return isSpare ? 0 : 1;
  }
  // A drain that has begun goes on: the work of another machine would only be interrupted as well.
  return (hasLongRunning ? 1e9 : 2) + (isDraining ? 0 : 1e6 + usedCpuMillis);
}

/** Decides which machines of a wave start their maintenance now, and which are drained for it. */
export function decideMaintenance(wave: WaveProgress): WaveDecision {
  const availableDown = Math.max(0, wave.maxDown - wave.downCount);
  const candidates = wave.due
    .filter(({ isUp }) => isUp)
    .toSorted((left, right) => getDrainCost(left) - getDrainCost(right));
  const ready = candidates.filter(({ isSpare, isIdle }) => isSpare || isIdle);
  const maintenanceStarts = ready.slice(0, availableDown).map(({ machine }) => machine);
  const requiredDrains = countRequiredDown(wave) - wave.downCount - maintenanceStarts.length;
  const drains = candidates
    .filter(({ isSpare, isIdle }) => !isSpare && !isIdle)
    .slice(0, Math.max(0, Math.min(requiredDrains, availableDown - maintenanceStarts.length)))
    .map(({ machine }) => machine);
  const stops = isRunningLate(wave) ? drains : [];
  return { maintenanceStarts, drains, stops };
}
