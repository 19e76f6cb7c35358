/**
 * Load pattern: a burst of a queue demands more than the capacity of all machines, or one organisation
 * sends several times its usual load. Each job admitted then makes jobs behind it late. A job that can no
 * longer meet its objective behind the work that is placed before it is therefore refused at once, before
 * any of it is stored. Organisations below their share are admitted as if the others kept to theirs.
 */
import type { WorkAhead, WorkQueue } from './BaobabwellPlacementWorkQueue';

/** Input of `decideAdmission`. */
export type AdmissionSnapshot = {
  readonly nowMs: number;
  readonly jobId: string;
  /** Organisation of the job, '' if there is none, and what it may send (see `WorkQueue`). */
  readonly organisation: string;
  /** The organisation sent the job beyond its rate; then it has no share to claim. */
  readonly isBeyondRate: boolean;
  /** Time until the organisation is within its rate again, in ms. */
  readonly rateDelayMs: number;
  /** Monotonic time at which the job is due, in ms. */
  readonly dueMs: number;
  /** Expected length of its critical path and expected duration of a task of its first step, in ms. */
  readonly criticalPathMs: number;
  readonly taskMs: number;
  /** Work of the steps with which the job begins, in thousandths of a core times ms. */
  readonly firstWork: number;
  readonly stepCount: number;
  /**
   * CPU for tasks that are not long running, in thousandths of a core: now, and of arriving
   * machines.
   */
  readonly cpuMillis: number;
  readonly arrivingCpuMillis: number;
  /** CPU of machines that could be allocated to the pool. */
  readonly allocatableCpuMillis: number;
  /** Accepted work of the pool, and the time since it was summed, in ms. */
  readonly accepted: WorkQueue;
  readonly workAgeMs: number;
  /** The largest task fits on no host that could ever be in the pool. */
  readonly isLargerThanAnyHost: boolean;
  /** Returns true if the job could start now on free pieces of hosts; asked before a refusal only. */
  readonly hasFreeRoom: () => boolean;
};

/** Reason for which a job is refused. */
export enum RefusalCause {
  /** A task is larger than any host, or the job is larger than any owner can track. */
  TooLarge = 'too-large',
  /** The owner has no memory left for the job. */
  Memory = 'memory',
  /** The job could not be done in time. */
  TooLate = 'too-late',
  /** The job could not be done in time because of what its own organisation sent. */
  BeyondShare = 'beyond-share',
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
const ARRIVING_MACHINE_DELAY_MS = 1_600;
const ALLOCATED_MACHINE_DELAY_MS = 3_000;

/**
 * Share of the capacity that tasks use when there is enough work: tasks do not fill hosts evenly.
 */
const USABLE_SHARE = 0.85;

/** Share of the duration of running tasks that is left on average. */
const RUNNING_LEFT_SHARE = 0.5;

/** Expected lateness up to which a job is still admitted, in ms: estimates are rough. */
const ESTIMATE_TOLERANCE_MS = 100;

/** Share of the wait that each additional step of a job incurs again. */
const ADDITIONAL_STEP_WAIT_SHARE = 0.25;

/** Minimum and maximum retry delay that a refusal tells the caller, in ms. */
const MIN_RETRY_MS = 1_000;
const MAX_RETRY_MS = 8_000;

/** Share of the retry delay over which callers are spread. */
const RETRY_SPREAD_SHARE = 0.5;

/** Longest wait that a reason names, and retry delay for a task larger than any host, in ms. */
const TOO_LARGE_RETRY_MS = 60_000;

const HASH_FACTOR = 31;
const HASH_RANGE = 65_521;

/** Returns a number from 0 to 1 that depends on the id only. */
function getSpread(id: string): number {
  let hash = 0;
  for (let index = 0; index < id.length; index += 1) {
    hash = (hash * HASH_FACTOR + id.charCodeAt(index)) % HASH_RANGE;
  }
  return hash / HASH_RANGE;
}

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

/**
 * Estimates how long the job waits, in ms: until the work ahead and its own first tasks are done but for
 * what runs then.
 */
function estimateWaitMs({ running, waiting }: WorkAhead, snapshot: AdmissionSnapshot): number {
  const { taskMs, firstWork, stepCount, workAgeMs } = snapshot;
  // The pool has worked since the sums were made.
  const doneMs = estimateWorkMs(running + waiting + firstWork, snapshot) - workAgeMs;
  const firstWaitMs = Math.max(0, doneMs - RUNNING_LEFT_SHARE * taskMs);
  return firstWaitMs * (1 + ADDITIONAL_STEP_WAIT_SHARE * (stepCount - 1));
}

function refuseTooLate(
  snapshot: AdmissionSnapshot,
  waitMs: number,
  waitWithoutSharesMs: number,
): AdmissionDecision {
  const { nowMs, jobId, dueMs, criticalPathMs, isBeyondRate, rateDelayMs } = snapshot;
  const laxityMs = dueMs - nowMs - criticalPathMs;
  const isOwnExcess = isBeyondRate || waitMs > waitWithoutSharesMs;
  const delayMs = Math.max(waitMs - laxityMs, isBeyondRate ? rateDelayMs : 0);
  const spreadDelayMs =
    Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, delayMs)) *
    (1 + RETRY_SPREAD_SHARE * getSpread(jobId));
  const shownWaitMs = Math.round(Math.min(waitMs, TOO_LARGE_RETRY_MS));
  return {
    isWanted: false,
    cause: isOwnExcess ? RefusalCause.BeyondShare : RefusalCause.TooLate,
    reason: `the work ahead takes ${shownWaitMs} ms, ${Math.round(laxityMs)} ms are left`,
    retryAfterMs: Math.round(Math.min(MAX_RETRY_MS, spreadDelayMs)),
  };
}

/** Decides whether a job can still be in time, given the work that is placed before it. */
export function decideAdmission(snapshot: AdmissionSnapshot): AdmissionDecision {
  const { nowMs, dueMs, criticalPathMs, accepted, isLargerThanAnyHost } = snapshot;
  if (isLargerThanAnyHost) {
    const reason = 'a task is larger than any host';
    return {
      isWanted: false,
      cause: RefusalCause.TooLarge,
      reason,
      retryAfterMs: TOO_LARGE_RETRY_MS,
    };
  }
  const waitMs = estimateWaitMs(accepted.getWorkAhead(snapshot), snapshot);
  const isInTime = waitMs <= dueMs - nowMs - criticalPathMs + ESTIMATE_TOLERANCE_MS;
  if (isInTime || snapshot.hasFreeRoom()) {
    return { isWanted: true };
  }
  const waitWithoutSharesMs = estimateWaitMs(accepted.getWorkDueBefore(dueMs), snapshot);
  return refuseTooLate(snapshot, waitMs, waitWithoutSharesMs);
}
