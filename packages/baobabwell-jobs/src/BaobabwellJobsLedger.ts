import type { Run, Step, Task } from './BaobabwellJobsEntries';
import type { JobRecord } from './BaobabwellJobsModel';
import type { JobProgress } from './BaobabwellJobsRows';

import { isEnded, Job, TaskPhase } from './BaobabwellJobsEntries';
import { JobState, parseTaskName, RunEnd } from './BaobabwellJobsModel';
import { applyJobProgress } from './BaobabwellJobsRows';

/** What the ledger needs to know of the queue of a job. */
export type QueueRules = {
  /** Runs of one task that may end as failed before the job fails. */
  readonly maxAttempts: number;
};

/** How an end that a host reported changed the ledger. */
export enum EndEffect {
  /** The run was not known, or its end had been dealt with. */
  None = 'none',
  TaskDone = 'task-done',
  /** The task waits to be started again. */
  Requeued = 'requeued',
  JobFailed = 'job-failed',
}

/** Pause before a task that failed is started again, in ms; doubles with each failure. */
const FAILURE_PAUSE_MS = 50;

/** Longest pause before a task is started again, in ms. */
const MAX_FAILURE_PAUSE_MS = 800;

const ATTEMPTS_WITHOUT_RULES = 3;

/** Every job that this owner knows, with all that may be running of it. */
export class JobLedger {
  readonly #jobs = new Map<string, Job>();

  /** Jobs that had not ended when last looked at: most of those that are known have. */
  readonly #open = new Set<Job>();

  readonly #changed = new Set<Job>();

  readonly #getRules: (queue: string) => QueueRules | null;

  constructor(getRules: (queue: string) => QueueRules | null) {
    this.#getRules = getRules;
  }

  /** Adds an accepted job; one that is known stays as it is. */
  addJob(record: JobRecord, version: number): Job {
    const known = this.#jobs.get(record.id);
    if (known !== undefined) {
      return known;
    }
    const job = new Job(record, version);
    this.#jobs.set(record.id, job);
    this.#open.add(job);
    return job;
  }

  /** Brings back what the store holds of a job's progress; a job that had ended ends anew for its removal. */
  applyProgress(job: Job, progress: JobProgress, version: number, nowMs: number): void {
    const known = job;
    known.progressVersion = version;
    if (isEnded(progress.state)) {
      known.end(progress.state, nowMs);
    } else {
      known.state = progress.state;
    }
    known.storedState = progress.state;
    known.hasStarted = true;
    applyJobProgress(known, progress);
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
    return job.getOccurrence(parsed.occurrence)[parsed.step]?.tasks[parsed.index] ?? null;
  }

  listJobs(): IterableIterator<Job> {
    return this.#jobs.values();
  }

  /** Lists the jobs that have not ended, in the order in which this process learnt of them. */
  listOpenJobs(): readonly Job[] {
    this.#open.forEach((job) => {
      if (job.isEnded) {
        this.#open.delete(job);
      }
    });
    return [...this.#open];
  }

  /** Removes a job that nobody asks for any more. */
  removeJob(job: Job): void {
    this.#open.delete(job);
    this.#jobs.delete(job.record.id);
  }

  /** Jobs whose row in the store is behind. */
  listChanged(): ReadonlySet<Job> {
    return this.#changed;
  }

  recordChange(job: Job): void {
    this.#changed.add(job);
  }

  /** Records that the row of a job was stored as it stands. */
  recordStored(job: Job, state: JobState, version: number): void {
    const stored = job;
    stored.progressVersion = version;
    stored.storedState = state;
  }

  removeChange(job: Job): void {
    this.#changed.delete(job);
  }

  /** Lists the steps of an occurrence that may run now. */
  listReadySteps(job: Job, wallTimeMs: number): readonly Step[] {
    if (job.isEnded) {
      return [];
    }
    const { repeat } = job.record.spec;
    const ready: Step[] = [];
    for (let occurrence = 0; occurrence < job.countOccurrences(); occurrence += 1) {
      if (repeat !== null && wallTimeMs < repeat.firstDueMs + occurrence * repeat.intervalMs) {
        break;
      }
      if (!job.doneOccurrences.has(occurrence)) {
        ready.push(...this.#listReadyStepsOf(job.getOccurrence(occurrence)));
      }
    }
    return ready;
  }

  #listReadyStepsOf(steps: readonly Step[]): readonly Step[] {
    return steps.filter(
      (step) => !step.isDone() && step.spec.after.every((before) => steps[before]?.isDone()),
    );
  }

  /** Records that a caller cancelled a job; gives the runs that have to be stopped. */
  cancelJob(job: Job, nowMs: number): readonly Run[] {
    if (job.isEnded) {
      return [];
    }
    job.end(JobState.Cancelled, nowMs);
    this.recordChange(job);
    return this.listRuns(job);
  }

  listRuns(job: Job): readonly Run[] {
    return job.listSteps().flatMap(({ tasks }) => tasks.flatMap(({ runs }) => [...runs]));
  }

  /** Applies the end of a run that its host reported. */
  applyEnd(run: Run, end: RunEnd, checkpoint: string, nowMs: number): EndEffect {
    const { task } = run;
    task.removeRun(run);
    if (checkpoint !== '') {
      task.checkpoint = checkpoint;
    }
    const { job } = task.step;
    if (job.isEnded) {
      return EndEffect.None;
    }
    if (end === RunEnd.Done) {
      return this.#applyDone(task, nowMs);
    }
    if (end === RunEnd.Failed && !task.step.spec.isLasting) {
      return this.#applyFailure(run, nowMs);
    }
    if (end === RunEnd.Failed) {
      task.avoidedHosts.add(run.hostId);
    }
    return EndEffect.Requeued;
  }

  #applyDone(task: Task, nowMs: number): EndEffect {
    if (task.step.spec.isLasting) {
      return EndEffect.Requeued;
    }
    const { step } = task;
    const doneTasks = step.spec.isGang ? step.tasks : [task];
    const isNew = doneTasks.map((done) => done.recordDone()).some(Boolean);
    if (!isNew) {
      return EndEffect.None;
    }
    const { job } = step;
    this.recordChange(job);
    if (job.getOccurrence(step.occurrence).every((other) => other.isDone())) {
      job.doneOccurrences.add(step.occurrence);
      if (job.doneOccurrences.size === job.countOccurrences()) {
        job.end(JobState.Completed, nowMs);
      }
    }
    return EndEffect.TaskDone;
  }

  #applyFailure(run: Run, nowMs: number): EndEffect {
    const { task } = run;
    const { job } = task.step;
    if (!task.recordFailure(run.number)) {
      return EndEffect.Requeued;
    }
    task.avoidedHosts.add(run.hostId);
    this.recordChange(job);
    const attempts = this.#getRules(job.record.queue)?.maxAttempts ?? ATTEMPTS_WITHOUT_RULES;
    if (task.failedRuns.length >= attempts && task.phase !== TaskPhase.Done) {
      job.end(JobState.Failed, nowMs);
      return EndEffect.JobFailed;
    }
    task.notBeforeMs =
      nowMs + Math.min(MAX_FAILURE_PAUSE_MS, FAILURE_PAUSE_MS * 2 ** (task.failedRuns.length - 1));
    return EndEffect.Requeued;
  }

  /** Records that a run cannot exist any more although nobody reported its end. */
  recordLost(run: Run): void {
    run.task.removeRun(run);
  }

  /** Jobs of a queue that were accepted and of which nothing was started. */
  countWaiting(queue: string): number {
    let count = 0;
    this.listOpenJobs().forEach((job) => {
      if (job.record.queue === queue && !job.hasStarted) {
        count += 1;
      }
    });
    return count;
  }
}
