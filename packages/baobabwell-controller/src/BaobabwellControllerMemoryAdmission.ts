/**
 * Load pattern: jobs of thousands of small tasks come one after the other, or one job asks for more tasks than
 * an owner can track. Work that every host has room for then ends the owner, and each of its successors, for
 * want of memory. The sum of what was accepted is bounded by the smallest heap of any process.
 */
import type { JobRecord, JobRegistry, MemoryLimits } from '@baobabwell/jobs';
import type { AdmissionDecision } from '@baobabwell/placement';
import type { Clock } from '@baobabwell/utils';

import { countLongRunningTasks, countTasks, estimateJobBytes } from '@baobabwell/jobs';
import { RefusalCause } from '@baobabwell/placement';

/** Time within which an admitted job is stored and seen, in ms. */
const STORE_TIME_MS = 1_000;

/** Time over which the rate is measured at which jobs end, in ms, and interval of its samples. */
const RATE_WINDOW_MS = 10_000;
const SAMPLE_INTERVAL_MS = 500;

/** Shortest and longest retry delay of a job that memory does not suffice for now, in ms. */
const MIN_RETRY_MS = 1_000;
const MAX_RETRY_MS = 60_000;

/** What a job takes. */
type JobDemand = { readonly bytes: number; readonly longRunningTasks: number };

type ReservedDemand = JobDemand & { readonly atMs: number };

/** Memory of all jobs that have ended so far at a time, in bytes and ms. */
type EndSample = { readonly atMs: number; readonly endedBytes: number };

type Refusal = Exclude<AdmissionDecision, { readonly isWanted: true }>;

function createRefusal(cause: RefusalCause, reason: string, retryAfterMs: number): Refusal {
  return { isWanted: false, cause, reason, retryAfterMs };
}

/** Finds out why a job can never be run by an owner with these limits; `null` if it can. */
function findExcess({ spec }: JobRecord, limits: MemoryLimits): string | null {
  const tasks = countTasks(spec);
  if (tasks > limits.jobTasks) {
    return `a job may have at most ${limits.jobTasks} tasks, this one has ${tasks}`;
  }
  const longRunningTasks = countLongRunningTasks(spec);
  if (longRunningTasks > limits.longRunningTasks) {
    return `at most ${limits.longRunningTasks} long running tasks can run, these are ${longRunningTasks}`;
  }
  const gangTasks = Math.max(
    0,
    ...spec.steps.map(({ isGang, taskCount }) => (isGang ? taskCount : 0)),
  );
  return gangTasks > limits.gangTasks
    ? `a gang may have at most ${limits.gangTasks} tasks, this one has ${gangTasks}`
    : null;
}

/** Decides whether memory suffices for offered jobs. */
export class MemoryAdmission {
  readonly #jobRegistry: JobRegistry;

  readonly #clock: Clock;

  readonly #getLimits: () => MemoryLimits;

  /** Admitted jobs that are not stored yet, the oldest first. */
  readonly #reserved = new Map<string, ReservedDemand>();

  #samples: readonly EndSample[] = [];

  constructor(options: {
    readonly jobRegistry: JobRegistry;
    readonly clock: Clock;
    /** Returns what the smallest process may keep that may become the owner. */
    readonly getLimits: () => MemoryLimits;
  }) {
    this.#jobRegistry = options.jobRegistry;
    this.#clock = options.clock;
    this.#getLimits = options.getLimits;
  }

  /** Returns why a job is refused; `null` if memory suffices. */
  check(record: JobRecord): Refusal | null {
    const nowMs = this.#clock.getNow();
    const limits = this.#getLimits();
    this.#addSample(nowMs);
    const excess = findExcess(record, limits);
    if (excess !== null) {
      return createRefusal(RefusalCause.TooLarge, `${excess}; it never fits`, MAX_RETRY_MS);
    }
    const own = this.#getDemand(record);
    const open = this.#sumOpen(record.id, nowMs);
    const missingBytes = open.bytes + own.bytes - limits.jobBytes;
    if (own.bytes > limits.jobBytes) {
      const reason = `a job of ${own.bytes} bytes is larger than all that is kept; it never fits`;
      return createRefusal(RefusalCause.TooLarge, reason, MAX_RETRY_MS);
    }
    if (missingBytes > 0) {
      const reason = `the accepted jobs take ${open.bytes} of ${Math.floor(limits.jobBytes)} bytes`;
      return createRefusal(RefusalCause.Memory, reason, this.#getRetryMs(missingBytes, nowMs));
    }
    const longRunningTasks = open.longRunningTasks + own.longRunningTasks;
    return own.longRunningTasks > 0 && longRunningTasks > limits.longRunningTasks
      ? createRefusal(
          RefusalCause.Memory,
          `${open.longRunningTasks} of ${limits.longRunningTasks} long running tasks are accepted`,
          MAX_RETRY_MS,
        )
      : null;
  }

  /** Counts an admitted job until it is stored. */
  add(record: JobRecord): void {
    this.#reserved.delete(record.id);
    const atMs = this.#clock.getNow();
    this.#reserved.set(record.id, { ...this.#getDemand(record), atMs });
  }

  #getDemand({ spec }: JobRecord): JobDemand {
    return { bytes: estimateJobBytes(spec), longRunningTasks: countLongRunningTasks(spec) };
  }

  /** Sums what the accepted jobs but one take. */
  #sumOpen(exceptId: string, nowMs: number): JobDemand {
    let { openBytes: bytes, openLongRunningTasks: longRunningTasks } = this.#jobRegistry;
    this.#reserved.forEach((demand, id) => {
      if (nowMs - demand.atMs > STORE_TIME_MS || this.#jobRegistry.findJob(id) !== null) {
        this.#reserved.delete(id);
      } else if (id !== exceptId) {
        bytes += demand.bytes;
        longRunningTasks += demand.longRunningTasks;
      }
    });
    return { bytes, longRunningTasks };
  }

  #addSample(nowMs: number): void {
    if (nowMs - (this.#samples.at(-1)?.atMs ?? -Infinity) >= SAMPLE_INTERVAL_MS) {
      const recent = this.#samples.filter(({ atMs }) => nowMs - atMs <= RATE_WINDOW_MS);
      this.#samples = [...recent, { atMs: nowMs, endedBytes: this.#jobRegistry.endedBytes }];
    }
  }

  /** Returns the time in which as much memory becomes free as did lately, in ms. */
  #getRetryMs(missingBytes: number, nowMs: number): number {
    const [first] = this.#samples;
    const freed = this.#jobRegistry.endedBytes - (first?.endedBytes ?? 0);
    const perMs = freed / Math.max(1, nowMs - (first?.atMs ?? nowMs));
    const delayMs = perMs > 0 ? missingBytes / perMs : MAX_RETRY_MS;
    return Math.round(Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, delayMs)));
  }
}
