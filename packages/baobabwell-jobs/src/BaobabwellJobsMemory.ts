/**
 * Load pattern: a few bytes ask for a hundred thousand tasks, or for a million occurrences that are due at once,
 * and many jobs do so one after the other. What an owner keeps for them has to fit into its heap.
 */
import type { JobSpec } from './BaobabwellJobsModel';

/** Memory of a task that waits or is done, of a run with its task, and of a job without its tasks, in bytes. */
const TASK_BYTES = 200;
const RUN_BYTES = 1_500;
const JOB_BYTES = 2_500;
const STEP_BYTES = 800;

/** Largest number of occurrences of a job, and of tasks of them, that are worked off at once. */
const MAX_OPEN_OCCURRENCES = 1_000;
const MAX_OPEN_TASKS = 10_000;

/** Largest number of tasks of one occurrence: the row with the progress of a job names each that is done. */
const MAX_JOB_TASKS = 200_000;

/** Shares of the heap for accepted jobs, for runs, and for jobs that were stored while no owner answered. */
const JOBS_SHARE = 0.3;
const RUNS_SHARE = 0.3;
const UNOFFERED_SHARE = 0.15;

/** Share of the runs that may be long running tasks: they do not end by themselves. */
const LONG_RUNNING_SHARE = 0.75;

/** Largest number of tasks of a gang: they have to start within the time for which members wait. */
const MAX_GANG_TASKS = 2_000;

/** Jobs up to this number of tasks may use all of the budget, larger ones a share of it. */
const SMALL_JOB_TASKS = 1_000;
const LARGE_JOB_SHARE = 0.8;

/** What an owner may keep in memory. */
export type MemoryLimits = {
  /** Memory of all accepted jobs that have not ended, in bytes. */
  readonly jobBytes: number;
  /** Memory of such jobs that all processes together store without an answer of an owner, in bytes. */
  readonly unofferedBytes: number;
  /** Tasks that are tracked one by one. */
  readonly tasks: number;
  /** Tasks of one occurrence of a job, and of one gang. */
  readonly jobTasks: number;
  readonly gangTasks: number;
  /** Runs, and long running tasks among them. */
  readonly runs: number;
  readonly longRunningTasks: number;
};

/** Computes what an owner may keep in a heap. */
export function computeMemoryLimits(heapBytes: number): MemoryLimits {
  const runs = Math.floor((heapBytes * RUNS_SHARE) / RUN_BYTES);
  // Large jobs have to fit as far as they are accepted, within their share.
  const acceptedTasks = Math.floor((heapBytes * JOBS_SHARE) / TASK_BYTES);
  return {
    jobBytes: heapBytes * JOBS_SHARE,
    unofferedBytes: heapBytes * UNOFFERED_SHARE,
    tasks: Math.ceil(acceptedTasks / LARGE_JOB_SHARE),
    jobTasks: Math.min(MAX_JOB_TASKS, acceptedTasks),
    gangTasks: Math.min(MAX_GANG_TASKS, runs),
    runs,
    longRunningTasks: Math.floor(runs * LONG_RUNNING_SHARE),
  };
}

/** Counts the tasks of one occurrence of a job. */
export function countTasks({ steps }: JobSpec): number {
  return steps.reduce((sum, { taskCount }) => sum + taskCount, 0);
}

/** Counts the long running tasks of a job. */
export function countLongRunningTasks({ steps }: JobSpec): number {
  return steps.reduce((sum, { isLasting, taskCount }) => sum + (isLasting ? taskCount : 0), 0);
}

/** Returns how many occurrences of a job are worked off at once. */
export function getMaxOpenOccurrences(spec: JobSpec): number {
  const fitting = Math.floor(MAX_OPEN_TASKS / Math.max(1, countTasks(spec)));
  return Math.min(spec.repeat?.count ?? 1, Math.max(1, Math.min(MAX_OPEN_OCCURRENCES, fitting)));
}

/** Returns the memory that a job takes at most before its tasks run, in bytes. */
export function estimateJobBytes(spec: JobSpec): number {
  const occurrenceBytes = spec.steps.length * STEP_BYTES + countTasks(spec) * TASK_BYTES;
  return JOB_BYTES + 2 * spec.payload.length + getMaxOpenOccurrences(spec) * occurrenceBytes;
}

/** Counts the tasks of all jobs that are tracked one by one. */
export class TaskBudget {
  readonly #maxTasks: number;

  #used = 0;

  constructor(maxTasks: number) {
    this.#maxTasks = maxTasks;
  }

  get used(): number {
    return this.#used;
  }

  /** Returns true when the tasks of an occurrence can be added; small jobs keep a share for themselves. */
  canAdd(count: number): boolean {
    const share = count > SMALL_JOB_TASKS ? LARGE_JOB_SHARE : 1;
    return this.#used + count <= this.#maxTasks * share;
  }

  add(count: number): void {
    this.#used += count;
  }

  remove(count: number): void {
    this.#used -= count;
  }
}
