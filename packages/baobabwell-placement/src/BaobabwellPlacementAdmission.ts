/**
 * Load pattern: a burst of a queue demands more than the capacity of all machines. Each job
 * admitted then makes all jobs behind it late. A job that can no longer meet its objective is
 * therefore refused at once, before any of it is stored, and the refusal tells the caller how long
 * the work ahead takes.
 */

/** An accepted job that is not done. */
export type AcceptedWork = {
  /** Monotonic time at which the job is due, in ms. */
  readonly dueMs: number;
  /** CPU time that the job still takes, in thousandths of a core times ms. */
  readonly remainingWork: number;
};

/** Input of `decideAdmission`. */
export type AdmissionSnapshot = {
  readonly nowMs: number;
  /** Monotonic time at which the job is due, and the length of its critical path, in ms. */
  readonly dueMs: number;
  readonly criticalPathMs: number;
  readonly stepCount: number;
  /**
   * CPU for tasks that are not long running, in thousandths of a core: now, and of arriving
   * machines.
   */
  readonly cpuMillis: number;
  readonly arrivingCpuMillis: number;
  /** CPU of machines that could be allocated to the pool. */
  readonly allocatableCpuMillis: number;
  readonly accepted: readonly AcceptedWork[];
  /** The largest task fits on no host that could ever be in the pool. */
  readonly isLargerThanAnyHost: boolean;
};

/** Reason for which a job is refused. */
export enum RefusalCause {
  /** A task is larger than any host. */
  TooLarge = 'too-large',
  /** The job could not be done in time. */
  TooLate = 'too-late',
}

/** Whether a job is admitted (`isWanted`), and the cause if it is not. */
export type AdmissionDecision =
  | { readonly isWanted: true }
  | {
      readonly isWanted: false;
      readonly cause: RefusalCause;
      readonly reason: string;
      readonly retryAfterMs: number;
    };

/** Time until an arriving machine, or one that is allocated now, takes work, in ms. */
const ARRIVING_MACHINE_DELAY_MS = 900;
const ALLOCATED_MACHINE_DELAY_MS = 1_900;

/**
 * Share of the capacity that tasks use when there is enough work: tasks do not fill hosts evenly.
 */
const USABLE_SHARE = 0.85;

/** Expected lateness up to which a job is still admitted, in ms: estimates are rough. */
const ESTIMATE_TOLERANCE_MS = 100;

/** Share of the wait that each additional step of a job incurs again. */
const ADDITIONAL_STEP_WAIT_SHARE = 0.25;

/** Minimum and maximum retry delay that a refusal tells the caller, in ms. */
const MIN_RETRY_MS = 1_000;
const MAX_RETRY_MS = 8_000;

/** Retry delay for a task larger than any host, in ms: only a change of the fleet helps. */
const TOO_LARGE_RETRY_MS = 60_000;

/**
 * Estimates the time in which the pool does some work, in ms, with the machines that join it
 * meanwhile.
 */
function estimateWorkMs(work: number, snapshot: AdmissionSnapshot): number {
  const { cpuMillis, arrivingCpuMillis, allocatableCpuMillis } = snapshot;
  const phases = [
    { untilMs: ARRIVING_MACHINE_DELAY_MS, availableCpuMillis: cpuMillis },
    { untilMs: ALLOCATED_MACHINE_DELAY_MS, availableCpuMillis: cpuMillis + arrivingCpuMillis },
    { untilMs: Infinity, availableCpuMillis: cpuMillis + arrivingCpuMillis + allocatableCpuMillis },
  ];
  let remaining = work;
  let atMs = 0;
  for (const { untilMs, availableCpuMillis } of phases) {
    const rate = availableCpuMillis * USABLE_SHARE;
    if (rate > 0 && remaining <= rate * (untilMs - atMs)) {
      return atMs + remaining / rate;
    }
    remaining -= rate * (untilMs - atMs);
    atMs = untilMs;
  }
  return Infinity;
}

/** Decides whether a job can still be in time, given all jobs that were accepted before it. */
export function decideAdmission(snapshot: AdmissionSnapshot): AdmissionDecision {
  const { nowMs, dueMs, criticalPathMs, stepCount, accepted, isLargerThanAnyHost } = snapshot;
  if (isLargerThanAnyHost) {
    const reason = 'a task is larger than any host';
    return {
      isWanted: false,
      cause: RefusalCause.TooLarge,
      reason,
      retryAfterMs: TOO_LARGE_RETRY_MS,
    };
  }
  const workAhead = accepted
    .filter((work) => work.dueMs <= dueMs && work.dueMs > nowMs)
    .reduce((sum, { remainingWork }) => sum + remainingWork, 0);
  const waitMs =
    estimateWorkMs(workAhead, snapshot) * (1 + ADDITIONAL_STEP_WAIT_SHARE * (stepCount - 1));
  const laxityMs = dueMs - nowMs - criticalPathMs;
  if (waitMs <= laxityMs + ESTIMATE_TOLERANCE_MS) {
    return { isWanted: true };
  }
  const excessMs = waitMs - laxityMs;
  return {
    isWanted: false,
    cause: RefusalCause.TooLate,
    reason: `the work ahead takes ${Math.round(Math.min(waitMs, TOO_LARGE_RETRY_MS))} ms, ${Math.round(laxityMs)} ms are left`,
    retryAfterMs: Math.round(Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, excessMs))),
  };
}
