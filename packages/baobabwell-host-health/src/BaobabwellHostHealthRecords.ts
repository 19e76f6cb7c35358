import type { HostEvidence } from './BaobabwellHostHealthModel';

/** Time for which an observation counts, in ms. */
const OBSERVATION_MS = 5_000;

/** Maximum number of observations of each kind that are kept for one host. */
const MAX_OBSERVATIONS = 24;

/** Number of runs, and of jobs among them, from which their median says something about a host. */
const MIN_SLOWNESS_RUNS = 3;
const MIN_SLOWNESS_JOBS = 2;

/** Share of a new observation in the usual slowness of a pool. */
const USUAL_SLOWNESS_WEIGHT = 0.02;

/** A step of a job; its tasks are alike. */
export type StepKey = { readonly jobId: string; readonly step: string };

/** A host and the pool in which its runs are compared. */
export type HostInPool = { readonly id: string; readonly pool: string };

type Failure = StepKey & { readonly atMs: number };

type Duration = { readonly jobId: string; readonly ratio: number; readonly atMs: number };

/** Observations of one host. */
type HostRecord = {
  readonly failures: readonly Failure[];
  readonly durations: readonly Duration[];
  readonly doneAtMs: readonly number[];
};

type StepRecord = { readonly failedOn: ReadonlySet<string>; readonly isDoneSomewhere: boolean };

const EMPTY: HostRecord = { failures: [], durations: [], doneAtMs: [] };

const UNKNOWN_STEP: StepRecord = { failedOn: new Set(), isDoneSomewhere: false };

function addRecent<Item>(items: readonly Item[], item: Item): readonly Item[] {
  return [...items, item].slice(-MAX_OBSERVATIONS);
}

function computeMedian(values: readonly number[]): number {
  const ordered = values.toSorted((left, right) => left - right);
  return ordered[Math.floor((ordered.length - 1) / 2)] ?? 1;
}

/** Keeps what was observed of the runs on each host. */
export class HostRecords {
  readonly #hosts = new Map<string, HostRecord>();

  readonly #steps = new Map<string, StepRecord>();

  readonly #usualSlowness = new Map<string, number>();

  /** Records a run that was done. */
  recordDone(hostId: string, { step }: StepKey, nowMs: number): void {
    const record = this.#hosts.get(hostId) ?? EMPTY;
    this.#hosts.set(hostId, { ...record, doneAtMs: addRecent(record.doneAtMs, nowMs) });
    const { failedOn } = this.#steps.get(step) ?? UNKNOWN_STEP;
    if (failedOn.size > 0) {
      this.#steps.set(step, { failedOn, isDoneSomewhere: true });
    }
  }

  /** Records a run that failed. */
  recordFailure(hostId: string, { jobId, step }: StepKey, nowMs: number): void {
    const record = this.#hosts.get(hostId) ?? EMPTY;
    const failures = addRecent(record.failures, { jobId, step, atMs: nowMs });
    this.#hosts.set(hostId, { ...record, failures });
    const { failedOn, isDoneSomewhere } = this.#steps.get(step) ?? UNKNOWN_STEP;
    this.#steps.set(step, { failedOn: new Set([...failedOn, hostId]), isDoneSomewhere });
  }

  /**
   * Records how long a run took, or will take by its progress.
   *
   * @param ratio duration over the expected one.
   */
  recordDuration(host: HostInPool, { jobId }: StepKey, ratio: number, nowMs: number): void {
    const record = this.#hosts.get(host.id) ?? EMPTY;
    const durations = addRecent(record.durations, { jobId, ratio, atMs: nowMs });
    this.#hosts.set(host.id, { ...record, durations });
    const usual = this.#usualSlowness.get(host.pool) ?? 1;
    const weight = USUAL_SLOWNESS_WEIGHT;
    this.#usualSlowness.set(host.pool, usual ** (1 - weight) * ratio ** weight);
  }

  /** Returns the usual duration of runs in a pool over the expected one. */
  getUsualSlowness(pool: string): number {
    return this.#usualSlowness.get(pool) ?? 1;
  }

  /** Finds the evidence against a host; `null` if nothing was observed lately. */
  findEvidence(hostId: string, nowMs: number): HostEvidence | null {
    const record = this.#hosts.get(hostId);
    if (record === undefined) {
      return null;
    }
    const failures = record.failures.filter(({ atMs }) => nowMs - atMs < OBSERVATION_MS);
    const durations = record.durations.filter(({ atMs }) => nowMs - atMs < OBSERVATION_MS);
    const doneCount = record.doneAtMs.filter((atMs) => nowMs - atMs < OBSERVATION_MS).length;
    const jobCount = new Set(durations.map(({ jobId }) => jobId)).size;
    const hasDurations = durations.length >= MIN_SLOWNESS_RUNS && jobCount >= MIN_SLOWNESS_JOBS;
    return {
      blame: failures.reduce((sum, { step }) => sum + this.#getBlame(step), 0),
      failedJobs: new Set(failures.map(({ jobId }) => jobId)).size,
      failedShare: failures.length === 0 ? 0 : failures.length / (failures.length + doneCount),
      slowness: hasDurations ? computeMedian(durations.map(({ ratio }) => ratio)) : null,
    };
  }

  /** Removes what was observed of a host, so that only later observations count. */
  clearHost(hostId: string): void {
    this.#hosts.delete(hostId);
  }

  /** Removes the records of steps whose job has ended. */
  removeStep(step: string): void {
    this.#steps.delete(step);
  }

  /** Returns the probability that a host, and not the task, caused a failure of the step. */
  #getBlame(step: string): number {
    const { failedOn, isDoneSomewhere } = this.#steps.get(step) ?? UNKNOWN_STEP;
    return isDoneSomewhere || failedOn.size === 0 ? 1 : 1 / failedOn.size;
  }
}
