import type { JobRecord, StepSpec } from '@baobabwell/jobs';

import { formatTaskName, parseTaskName, RunEnd } from '@baobabwell/jobs';

/** Promises that the oracle checks on what hosts saw. */
export enum JobInvariant {
  /** No task runs twice at a time, nor again after it was done and acknowledged. */
  RunsOnce = 'runs-once',
  /** A task starts after all steps before its own are done. */
  KeepsStepOrder = 'keeps-order',
  /** No host gets more than its room. */
  KeepsHostCapacity = 'keeps-room',
  /** No organisation runs more than its cap, and one task. */
  KeepsOrganisationCap = 'keeps-cap',
  /** No task starts again after its last attempt failed. */
  KeepsAttemptLimit = 'keeps-attempts',
  /** Only what a caller handed in is started. */
  RunsOnlySubmitted = 'runs-what-was-asked',
}

/** One broken promise. */
export type InvariantViolation = {
  readonly promise: JobInvariant;
  readonly task: string;
  readonly atMs: number;
  readonly detail: string;
};

type TaskTrace = {
  readonly running: Set<string>;
  isDone: boolean;
  /** A run ended as done, also when that end was lost with its host before it was acknowledged. */
  hasEverCompleted: boolean;
  failures: number;
};

/** Watches what happens on the hosts. */
export class JobOracle {
  readonly jobs = new Map<string, JobRecord>();

  readonly violations: InvariantViolation[] = [];

  startCount = 0;

  /** Attempts and cap by queue and organisation. */
  readonly maxAttempts: number;

  readonly capCpuMillis: number;

  readonly #tasks = new Map<string, TaskTrace>();

  readonly #usedCpuByOrganisation = new Map<string, number>();

  constructor(maxAttempts: number, capCpuMillis: number) {
    this.maxAttempts = maxAttempts;
    this.capCpuMillis = capCpuMillis;
  }

  findStep(task: string): StepSpec | null {
    const name = parseTaskName(task);
    return (name && this.jobs.get(name.jobId)?.spec.steps[name.step]) ?? null;
  }

  recordStart(task: string, host: string, atMs: number, freeCpuMillis: number): void {
    this.startCount += 1;
    const step = this.findStep(task);
    const name = parseTaskName(task);
    if (step === null || name === null) {
      this.#addViolation(JobInvariant.RunsOnlySubmitted, task, atMs, host);
      return;
    }
    const trace = this.#getTrace(task);
    if (trace.running.size > 0 || trace.isDone) {
      this.#addViolation(
        JobInvariant.RunsOnce,
        task,
        atMs,
        `${host}, ${[...trace.running].join()}`,
      );
    }
    if (trace.failures >= this.maxAttempts) {
      this.#addViolation(JobInvariant.KeepsAttemptLimit, task, atMs, `${trace.failures} failures`);
    }
    const isEarly = step.after.some((position) => this.#hasIncompleteTask(name.jobId, position));
    if (isEarly) {
      this.#addViolation(JobInvariant.KeepsStepOrder, task, atMs, host);
    }
    if (freeCpuMillis < step.need.cpuMillis) {
      this.#addViolation(
        JobInvariant.KeepsHostCapacity,
        task,
        atMs,
        `${freeCpuMillis} left on ${host}`,
      );
    }
    trace.running.add(host);
    this.#addUsage(name.jobId, step.need.cpuMillis, task, atMs);
  }

  recordEnd(task: string, host: string, end: RunEnd): void {
    const trace = this.#getTrace(task);
    trace.running.delete(host);
    trace.isDone ||= end === RunEnd.Done;
    trace.hasEverCompleted ||= end === RunEnd.Done;
    trace.failures += end === RunEnd.Failed ? 1 : 0;
    const name = parseTaskName(task);
    const step = this.findStep(task);
    if (name !== null && step !== null) {
      this.#addUsage(name.jobId, -step.need.cpuMillis, task, 0);
    }
  }

  /** An end that was never acknowledged got lost with its host. */
  recordLostEnd(task: string): void {
    this.#getTrace(task).isDone = false;
  }

  /** True while a task of a step has never ended as done; an end that was forgotten did happen. */
  #hasIncompleteTask(jobId: string, position: number): boolean {
    const taskCount = this.jobs.get(jobId)?.spec.steps[position]?.taskCount ?? 0;
    return Array.from({ length: taskCount }, (_, index) =>
      formatTaskName({ jobId, occurrence: 0, step: position, index }),
    ).some((task) => this.#tasks.get(task)?.hasEverCompleted !== true);
  }

  #addUsage(jobId: string, cpuMillis: number, task: string, atMs: number): void {
    const organisation = this.jobs.get(jobId)?.organisation ?? null;
    if (organisation === null) {
      return;
    }
    const used = (this.#usedCpuByOrganisation.get(organisation) ?? 0) + cpuMillis;
    this.#usedCpuByOrganisation.set(organisation, used);
    if (cpuMillis > 0 && used > this.capCpuMillis + cpuMillis) {
      this.#addViolation(
        JobInvariant.KeepsOrganisationCap,
        task,
        atMs,
        `${organisation} uses ${used}`,
      );
    }
  }

  #getTrace(task: string): TaskTrace {
    const existing = this.#tasks.get(task);
    if (existing !== undefined) {
      return existing;
    }
    const trace: TaskTrace = {
      running: new Set(),
      isDone: false,
      hasEverCompleted: false,
      failures: 0,
    };
    this.#tasks.set(task, trace);
    return trace;
  }

  #addViolation(promise: JobInvariant, task: string, atMs: number, detail: string): void {
    this.violations.push({ promise, task, atMs, detail });
  }
}
