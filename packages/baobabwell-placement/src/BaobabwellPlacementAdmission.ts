/**
 * Load pattern: a queue in its turn asks for more than all machines hold. Whoever is let in then makes
 * all behind it late, so a job that cannot be in time any more is refused at once, before anything of
 * it is stored, and its caller is told when the work ahead of it will be done.
 */

/** Work that was accepted and is not done. */
export type AcceptedWork = {
  /** Monotonic time by which it should be done, in ms. */
  readonly dueMs: number;
  /** What is left of it, in thousandths of a core times ms. */
  readonly workLeft: number;
};

/** What an admission is decided from. */
export type AdmissionSnapshot = {
  readonly nowMs: number;
  /** Time by which the job should be done, and the longest chain of its steps, in ms. */
  readonly dueMs: number;
  readonly chainMs: number;
  readonly stepCount: number;
  /** Room for tasks that end, in thousandths of a core: now, and of machines on their way. */
  readonly cpuMillis: number;
  readonly arrivingCpuMillis: number;
  /** Room of machines that could be called in. */
  readonly callableCpuMillis: number;
  readonly accepted: readonly AcceptedWork[];
  /** The largest task fits on no host that could ever be in the pool. */
  readonly fitsNowhere: boolean;
};

/** Why a job is not wanted. */
export enum RefusalCause {
  /** A task is larger than any host. */
  TooLarge = 'too-large',
  /** It could not be done in time. */
  TooLate = 'too-late',
}

/** Whether a job is wanted. */
export type AdmissionDecision =
  | { readonly isWanted: true }
  | {
      readonly isWanted: false;
      readonly cause: RefusalCause;
      readonly reason: string;
      readonly retryAfterMs: number;
    };

/** Time until a machine that is on its way, or called in now, takes work, in ms. */
const ARRIVING_MS = 900;
const CALLABLE_MS = 1_900;

/** Share of the room that tasks use when there is enough work: they do not fit hosts evenly. */
const USABLE_SHARE = 0.85;

/** Wait beyond the time left that a job may be expected to have, in ms: estimates are rough. */
const TOLERANCE_MS = 100;

/** Part of the wait that each further step of a job meets again. */
const FURTHER_STEP_SHARE = 0.25;

/** Shortest and longest pause that a caller is asked to make, in ms. */
const MIN_RETRY_MS = 1_000;
const MAX_RETRY_MS = 8_000;

/** Pause asked for when a job fits nowhere, in ms: only a change of the fleet helps. */
const MISFIT_RETRY_MS = 60_000;

/** Time in which the pool does some work, in ms, with the machines that join it meanwhile. */
function getWorkMs(work: number, snapshot: AdmissionSnapshot): number {
  const { cpuMillis, arrivingCpuMillis, callableCpuMillis } = snapshot;
  const phases = [
    { untilMs: ARRIVING_MS, room: cpuMillis },
    { untilMs: CALLABLE_MS, room: cpuMillis + arrivingCpuMillis },
    { untilMs: Infinity, room: cpuMillis + arrivingCpuMillis + callableCpuMillis },
  ];
  let left = work;
  let atMs = 0;
  for (const { untilMs, room } of phases) {
    const rate = room * USABLE_SHARE;
    if (rate > 0 && left <= rate * (untilMs - atMs)) {
      return atMs + left / rate;
    }
    left -= rate * (untilMs - atMs);
    atMs = untilMs;
  }
  return Infinity;
}

/** Decides whether a job can still be in time, given all that was accepted before it. */
export function decideAdmission(snapshot: AdmissionSnapshot): AdmissionDecision {
  const { nowMs, dueMs, chainMs, stepCount, accepted, fitsNowhere } = snapshot;
  if (fitsNowhere) {
    const reason = 'a task is larger than any host';
    return {
      isWanted: false,
      cause: RefusalCause.TooLarge,
      reason,
      retryAfterMs: MISFIT_RETRY_MS,
    };
  }
  const ahead = accepted
    .filter((work) => work.dueMs <= dueMs && work.dueMs > nowMs)
    .reduce((sum, { workLeft }) => sum + workLeft, 0);
  const waitMs = getWorkMs(ahead, snapshot) * (1 + FURTHER_STEP_SHARE * (stepCount - 1));
  const laxityMs = dueMs - nowMs - chainMs;
  if (waitMs <= laxityMs + TOLERANCE_MS) {
    return { isWanted: true };
  }
  const excessMs = waitMs - laxityMs;
  return {
    isWanted: false,
    cause: RefusalCause.TooLate,
    reason: `the work ahead takes ${Math.round(Math.min(waitMs, MISFIT_RETRY_MS))} ms, ${Math.round(laxityMs)} ms are left`,
    retryAfterMs: Math.round(Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, excessMs))),
  };
}
