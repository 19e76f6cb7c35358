import type { CrashEvidence } from './BaobabwellJobsCrashes';
import type { JobRecord } from './BaobabwellJobsModel';
import type { JobProgress } from './BaobabwellJobsRows';
import type { Run, Step, Task } from './BaobabwellJobsTracking';

import { CrashSuspicion } from './BaobabwellJobsCrashes';
import { countLongRunningTasks, getMaxOpenOccurrences, TaskBudget } from './BaobabwellJobsMemory';
import { JobState, parseTaskName, RunEnd } from './BaobabwellJobsModel';
import { restoreJobProgress } from './BaobabwellJobsRows';
import { isEnded, Job, TaskPhase } from './BaobabwellJobsTracking';

/** Settings of the queue of a job that the registry uses. */
export type QueueRules = {
  /** Number of failed runs of one task at which the job fails. */
  readonly maxAttempts: number;
};

/** Effect of the reported end of a run on the registry. */
export enum RunEndEffect {
  /** No effect: the job had ended, or the task was already done. */
  None = 'none',
  TaskDone = 'task-done',
  /** The task is waiting again. */
  Requeued = 'requeued',
  JobFailed = 'job-failed',
}

/** Backoff before a failed task is started again, in ms; it doubles with each failure. */
const FAILURE_BACKOFF_MS = 50;

/** Maximum backoff before a failed task is started again, in ms. */
const MAX_FAILURE_BACKOFF_MS = 800;

/**
 * Backoff before a task that probably crashes its hosts is started again, in ms; meanwhile the tasks on
 * the host on which it will start can end.
 */
const SUSPECT_BACKOFF_MS = 1_000;

/** Registry of all jobs that this owner tracks, with every run that may exist. */
export class JobRegistry {
  readonly #jobs = new Map<string, Job>();

  /**
   * Jobs that had not ended at the last call of `listOpenJobs`. A separate set, because most of the
   * tracked jobs have ended.
   */
  readonly #openJobs = new Set<Job>();

  /** Jobs that ended while runs of theirs may have existed. */
  readonly #endedJobs = new Set<Job>();

  /** Jobs that have ended and are still tracked in full. */
  readonly #detailedJobs = new Set<Job>();

  /** Memory that the jobs which have not ended take at most, in bytes. */
  #openBytes = 0;

  /** The same of all jobs that have ended so far. */
  #endedBytes = 0;

  #openLongRunningTasks = 0;

  /** Jobs that were added lately, ended ones included. */
  #newJobs: Job[] = [];

  /** Tasks that may crash their hosts. */
  readonly #suspects = new Set<Task>();

  /** Tasks with failed runs of queues whose limit was not known at the last of them. */
  readonly #undecidedTasks = new Set<Task>();

  readonly #unsavedJobs = new Set<Job>();

  readonly #findRules: (record: JobRecord) => QueueRules | null;

  readonly #budget: TaskBudget;

  /** @param budget counts the tasks that are tracked one by one. */
  constructor(
    findRules: (record: JobRecord) => QueueRules | null,
    budget = new TaskBudget(Infinity),
  ) {
    this.#findRules = findRules;
    this.#budget = budget;
  }

  /** Memory that the jobs which have not ended take at most, in bytes. */
  get openBytes(): number {
    return this.#openBytes;
  }

  /** The same of all jobs that have ended so far, in bytes. */
  get endedBytes(): number {
    return this.#endedBytes;
  }

  /** Number of long running tasks of jobs that have not ended. */
  get openLongRunningTasks(): number {
    return this.#openLongRunningTasks;
  }

  /** Adds an accepted job, or returns the job unchanged if it is already tracked. */
  addJob(record: JobRecord, version: number): Job {
    const existing = this.#jobs.get(record.id);
    if (existing !== undefined) {
      return existing;
    }
    const job = new Job(record, version, this.#budget);
    this.#jobs.set(record.id, job);
    this.#openJobs.add(job);
    this.#newJobs.push(job);
    this.#openBytes += job.bytes;
    this.#openLongRunningTasks += countLongRunningTasks(record.spec);
    return job;
  }

  /**
   * Restores the persisted progress of a job. For a job that had ended, the time of its end is set
   * anew, because the job is removed some time after it.
   */
  restoreProgress(job: Job, progress: JobProgress, version: number, nowMs: number): void {
    const restored = job;
    restored.progressVersion = version;
    if (isEnded(progress.state)) {
      restored.hadEnded = true;
      this.#recordEnd(restored, progress.state, nowMs);
    } else {
      restored.state = progress.state;
    }
    restored.storedState = progress.state;
    restored.hasStarted = true;
    restored.hasRun = true;
    restoreJobProgress(restored, progress, nowMs);
    if (restored.isEnded && restored.listSteps().some((step) => step.formerLeftoverCount > 0)) {
      this.#endedJobs.add(restored);
    }
    const tasks = restored.listSteps().flatMap((step) => step.tasks);
    tasks
      .filter(({ step, failedRuns }) => failedRuns.length > 0 && !step.spec.isLasting)
      .forEach((task) => this.#undecidedTasks.add(task));
    tasks
      .filter(({ crashes, storedStarts }) => crashes.runs.length > 0 || storedStarts.length > 0)
      .forEach((task) => this.#suspects.add(task));
  }

  findJob(id: string): Job | null {
    return this.#jobs.get(id) ?? null;
  }

  findTask(name: string): Task | null {
    const parsed = parseTaskName(name);
    const job = parsed === null ? null : this.findJob(parsed.jobId);
    if (parsed === null || job === null || parsed.occurrence >= job.countOccurrences()) {
      return null;
    }
    if (job.isEnded) {
      this.#detailedJobs.add(job);
    }
    return job.getOccurrence(parsed.occurrence)[parsed.step]?.tasks[parsed.index] ?? null;
  }

  listJobs(): IterableIterator<Job> {
    return this.#jobs.values();
  }

  /** Lists the jobs that have not ended, in the order in which they were added. */
  listOpenJobs(): readonly Job[] {
    this.#openJobs.forEach((job) => {
      if (job.isEnded) {
        this.#openJobs.delete(job);
      }
    });
    return [...this.#openJobs];
  }

  /**
   * Lists the jobs accepted since a wall-clock time in ms, ended ones included. Later calls must not ask for
   * an earlier time.
   */
  listArrivedJobs(sinceMs: number): readonly Job[] {
    this.#newJobs = this.#newJobs.filter(({ record }) => record.acceptedAtMs >= sinceMs);
    return this.#newJobs;
  }

  /** Lists the jobs that ended and of which runs may exist. */
  listEndedJobs(): ReadonlySet<Job> {
    return this.#endedJobs;
  }

  /** Removes an ended job of which no run can exist any more from {@link listEndedJobs}. */
  removeEndedJob(job: Job): void {
    this.#endedJobs.delete(job);
  }

  #endJob(job: Job, state: JobState, nowMs: number): void {
    this.#recordEnd(job, state, nowMs);
    this.#endedJobs.add(job);
  }

  #recordEnd(job: Job, state: JobState, nowMs: number): void {
    job.end(state, nowMs);
    this.#detailedJobs.add(job);
    this.#openBytes -= job.bytes;
    this.#endedBytes += job.bytes;
    this.#openLongRunningTasks -= countLongRunningTasks(job.record.spec);
  }

  /** Keeps of the jobs whose end is stored, and of which no run can exist any more, what answers a caller. */
  compactEndedJobs(): void {
    this.#detailedJobs.forEach((job) => {
      const isSettled = isEnded(job.storedState) && !this.#endedJobs.has(job);
      if (isSettled && job.compact()) {
        this.#detailedJobs.delete(job);
      }
    });
  }

  /** Removes a job that callers no longer query. */
  removeJob(job: Job): void {
    this.#endedJobs.delete(job);
    this.#detailedJobs.delete(job);
    job.compact();
    this.#openJobs.delete(job);
    this.#jobs.delete(job.record.id);
  }

  /** Lists the jobs whose persisted row is out of date. */
  listUnsavedJobs(): ReadonlySet<Job> {
    return this.#unsavedJobs;
  }

  addUnsavedJob(job: Job): void {
    this.#unsavedJobs.add(job);
  }

  /** Records that the row of a job was persisted with the given state and version. */
  recordStored(job: Job, state: JobState, version: number): void {
    const saved = job;
    saved.progressVersion = version;
    saved.storedState = state;
  }

  removeUnsavedJob(job: Job): void {
    this.#unsavedJobs.delete(job);
  }

  /** Lists the steps of all due occurrences that may run now. */
  listReadySteps(job: Job, wallTimeMs: number): readonly Step[] {
    return job.isEnded ? [] : this.listDueSteps(job, wallTimeMs);
  }

  /**
   * Lists the same steps, also of a job that has ended: those of which runs may exist. Due occurrences are worked
   * off some at a time, and those of all jobs as far as memory suffices.
   */
  listDueSteps(job: Job, wallTimeMs: number): readonly Step[] {
    const { repeat } = job.record.spec;
    const { doneOccurrences } = job;
    const ready: Step[] = [];
    const count = job.countOccurrences();
    let leftCount = getMaxOpenOccurrences(job.record.spec);
    for (let next = doneOccurrences.firstMissing; next < count && leftCount > 0; next += 1) {
      const isDue = repeat === null || wallTimeMs >= repeat.firstDueMs + next * repeat.intervalMs;
      if (!isDue) {
        break;
      }
      if (!doneOccurrences.has(next)) {
        if (!job.canTrack(next)) {
          break;
        }
        leftCount -= 1;
        ready.push(...this.#filterReadySteps(job.getOccurrence(next)));
      }
    }
    return ready;
  }

  #filterReadySteps(steps: readonly Step[]): readonly Step[] {
    return steps.filter(
      (step) => !step.isDone() && step.spec.after.every((before) => steps[before]?.isDone()),
    );
  }

  /** Records that a caller cancelled a job; returns the runs that have to be stopped. */
  cancelJob(job: Job, nowMs: number): readonly Run[] {
    if (job.isEnded) {
      return [];
    }
    this.#endJob(job, JobState.Cancelled, nowMs);
    this.addUnsavedJob(job);
    return this.listRuns(job);
  }

  listRuns(job: Job): readonly Run[] {
    return job.listSteps().flatMap(({ tasks }) => tasks.flatMap(({ runs }) => [...runs]));
  }

  /** Applies the end of a run that its host reported. */
  applyEnd(run: Run, end: RunEnd, checkpoint: string, nowMs: number): RunEndEffect {
    const { task } = run;
    task.removeRun(run);
    task.recordCheckpoint(checkpoint);
    const { job, occurrence } = task.step;
    job.hasRun = true;
    if (job.isEnded) {
      return RunEndEffect.None;
    }
    if (job.doneOccurrences.has(occurrence)) {
      job.removeOccurrence(occurrence);
      return RunEndEffect.None;
    }
    if (end === RunEnd.Done) {
      return this.#applyDone(task, nowMs);
    }
    if (end === RunEnd.Failed && !task.step.spec.isLasting) {
      return this.#applyFailure(run, nowMs);
    }
    if (end === RunEnd.Failed) {
      task.addAvoidedHost(run.hostId);
    }
    return RunEndEffect.Requeued;
  }

  #applyDone(task: Task, nowMs: number): RunEndEffect {
    if (task.step.spec.isLasting) {
      return RunEndEffect.Requeued;
    }
    const { step } = task;
    const doneTasks = step.spec.isGang ? step.tasks : [task];
    const isNew = doneTasks.map((done) => done.recordDone()).some(Boolean);
    if (!isNew) {
      return RunEndEffect.None;
    }
    const { job } = step;
    this.addUnsavedJob(job);
    if (job.getOccurrence(step.occurrence).every((other) => other.isDone())) {
      job.doneOccurrences.add(step.occurrence);
      if (job.doneOccurrences.size === job.countOccurrences()) {
        this.#endJob(job, JobState.Completed, nowMs);
      } else {
        job.removeOccurrence(step.occurrence);
      }
    }
    return RunEndEffect.TaskDone;
  }

  #applyFailure(run: Run, nowMs: number): RunEndEffect {
    const { task } = run;
    const { job } = task.step;
    if (!task.recordFailure(run.number)) {
      return RunEndEffect.Requeued;
    }
    task.addAvoidedHost(run.hostId);
    this.addUnsavedJob(job);
    this.#undecidedTasks.add(task);
    if (this.#failFailingTask(task, nowMs)) {
      return RunEndEffect.JobFailed;
    }
    task.notBeforeMs =
      nowMs +
      Math.min(MAX_FAILURE_BACKOFF_MS, FAILURE_BACKOFF_MS * 2 ** (task.failedRuns.length - 1));
    return RunEndEffect.Requeued;
  }

  /**
   * Fails the job of a task of which too many runs failed; returns false if they have not. Without the
   * limit of its queue the task is left undecided; nothing of the queue is started meanwhile.
   */
  #failFailingTask(task: Task, nowMs: number): boolean {
    const { job } = task.step;
    const rules = this.#findRules(job.record);
    if (rules === null) {
      return false;
    }
    this.#undecidedTasks.delete(task);
    if (task.failedRuns.length < rules.maxAttempts || task.phase === TaskPhase.Done) {
      return false;
    }
    this.#endJob(job, JobState.Failed, nowMs);
    this.addUnsavedJob(job);
    return true;
  }

  /** Records that the host of a run crashed, and that the task of the run may be the cause. */
  recordCrash(run: Run, evidence: CrashEvidence, nowMs: number): RunEndEffect {
    const { task } = run;
    const { job } = task.step;
    if (
      job.isEnded ||
      task.phase === TaskPhase.Done ||
      !task.crashes.record(run, evidence, nowMs)
    ) {
      return RunEndEffect.None;
    }
    this.addUnsavedJob(job);
    if (this.#failCrashingTask(task, nowMs)) {
      return RunEndEffect.JobFailed;
    }
    this.#delaySuspect(task, nowMs);
    return RunEndEffect.Requeued;
  }

  /** Fails the job of a task that has crashed too many hosts; returns false if it has not. */
  #failCrashingTask(task: Task, nowMs: number): boolean {
    const { job, spec } = task.step;
    // Long running tasks are restarted however they end.
    if (!task.crashes.areFinal || spec.isLasting) {
      return false;
    }
    this.#endJob(job, JobState.Failed, nowMs);
    this.addUnsavedJob(job);
    return true;
  }

  /**
   * Removes the crashes of a host that is listed again in the same incarnation: it was cut off.
   *
   * @returns the runs under which it was taken for crashed.
   */
  refuteCrashes(
    hostId: string,
    bornMs: number,
  ): readonly { readonly task: Task; readonly number: number }[] {
    return [...this.#suspects].flatMap((task) => {
      const refuted = task.crashes.refute(hostId, bornMs);
      if (refuted.length > 0) {
        this.addUnsavedJob(task.step.job);
      }
      return refuted.map((number) => ({ task, number }));
    });
  }

  /**
   * Makes crashes final whose hosts have not returned, and applies limits that were not known before;
   * returns the tasks that are given up for either.
   */
  settleFailures(nowMs: number): readonly Task[] {
    const failed: Task[] = [];
    this.#undecidedTasks.forEach((task) => {
      if (task.step.job.isEnded) {
        this.#undecidedTasks.delete(task);
      } else if (this.#failFailingTask(task, nowMs)) {
        failed.push(task);
      }
    });
    this.#suspects.forEach((task) => {
      task.crashes.settle(nowMs);
      const isOpen = !task.step.job.isEnded && task.phase !== TaskPhase.Done;
      if (isOpen && this.#failCrashingTask(task, nowMs)) {
        failed.push(task);
      }
    });
    return failed;
  }

  /** Records that the host of a run is silent and may have crashed because of its task. */
  recordPossibleCrash(run: Run, nowMs: number): void {
    const { task } = run;
    task.crashes.addUnconfirmed(run);
    this.#delaySuspect(task, nowMs);
  }

  /** Lists the tasks that may crash their hosts, those that are done included. */
  listSuspects(): readonly Task[] {
    return [...this.#suspects];
  }

  /** Returns true while a task that may crash its hosts is still to be done. */
  hasSuspects(): boolean {
    this.#suspects.forEach((task) => {
      const { job } = task.step;
      const isCleared = task.crashes.suspicion === CrashSuspicion.None;
      if (job.isEnded || task.phase === TaskPhase.Done || isCleared) {
        this.#suspects.delete(task);
      }
    });
    return this.#suspects.size > 0;
  }

  #delaySuspect(suspect: Task, nowMs: number): void {
    const task = suspect;
    this.#suspects.add(task);
    if (task.crashes.suspicion === CrashSuspicion.Strong) {
      task.notBeforeMs = Math.max(task.notBeforeMs, nowMs + SUSPECT_BACKOFF_MS);
    }
  }

  /** Removes a run that can no longer exist although no host reported its end. */
  removeLostRun(run: Run): void {
    run.task.removeRun(run);
  }

  /** Counts those of the accepted jobs of which no host is known to have started a task. */
  countWaiting(isCounted: (record: JobRecord) => boolean): number {
    let count = 0;
    this.listOpenJobs().forEach((job) => {
      if (!job.hasRun && isCounted(job.record)) {
        count += 1;
      }
    });
    return count;
  }
}
