import type { JobRecord, Resources, StepSpec } from '@baobabwell/jobs';
import type { StartOrder } from '@baobabwell/platform';

import { formatTaskName, parseTaskName, RunEnd } from '@baobabwell/jobs';

import { AvailabilityTracker } from './BaobabwellJobEmulatorAvailability';
import { CancellationTracker } from './BaobabwellJobEmulatorCancellations';
import { getGang } from './BaobabwellJobEmulatorNames';

/** Invariants that the oracle checks against the starts and ends on the hosts. */
export enum JobInvariant {
  /**
   * No task has two concurrent runs, nor a run after an acknowledged completion; a task that may be copied
   * has at most two, and no run some time after the acknowledgement.
   */
  RunsOnce = 'runs-once',
  /** A task starts only after all steps that its own step depends on are done. */
  KeepsStepOrder = 'keeps-order',
  /** No host starts a task that requires more than its available CPU, memory or GPUs. */
  KeepsHostCapacity = 'keeps-room',
  /** No organisation exceeds its cap by more than one task. */
  KeepsOrganisationCap = 'keeps-cap',
  /** No task starts again after its last attempt failed. */
  KeepsAttemptLimit = 'keeps-attempts',
  /**
   * No task starts more than twice after hosts crashed under it as often as that may happen; a long running
   * one is restarted however it ends.
   */
  KeepsCrashLimit = 'keeps-crashes',
  /** No process acknowledges an end that none has received. */
  AcknowledgesSeenEnds = 'acknowledges-what-was-seen',
  /** No order ends a long running task while as many others of its step are away as it may miss. */
  KeepsAvailability = 'keeps-available',
  /** No task starts on a host that has been draining for some time. */
  SparesDrainingHosts = 'spares-draining-hosts',
  /** No task starts in a data centre that has been evacuated for some time. */
  SparesEvacuatedDataCentres = 'spares-evacuated-data-centres',
  /** Only tasks of submitted jobs start. */
  RunsOnlySubmitted = 'runs-what-was-asked',
  /** The members of one run of a gang resume from the same checkpoint. */
  ResumesGangTogether = 'resumes-gang-together',
  /** No task starts some time after the cancelling of its job was acknowledged. */
  StartsNoCancelledJob = 'starts-no-cancelled-job',
}

/** One violation of an invariant. */
export type InvariantViolation = {
  /** The violated invariant; failure reports contain this field under its name. */
  readonly promise: JobInvariant;
  readonly task: string;
  readonly atMs: number;
  readonly detail: string;
};

/** State of a host at the start of a task. */
export type StartConditions = {
  readonly available: Resources;
  /** True when an owner has to know that the host is draining. */
  readonly isDrained: boolean;
  /** True when an owner has to know that the data centre of the host is evacuated. */
  readonly isEvacuated: boolean;
  /** True when the host carried out the order late. */
  readonly isLate: boolean;
};

/** Returns true when a task of a step fits the available resources. */
export function fits({ need, isFilling }: StepSpec, available: Resources): boolean {
  return (
    (isFilling || need.cpuMillis <= available.cpuMillis) &&
    need.memoryMb <= available.memoryMb &&
    need.gpus <= available.gpus
  );
}

type TaskTrace = {
  readonly running: Set<string>;
  isDone: boolean;
  /** Time of the first acknowledged completion, in ms; `null` before. */
  doneSeenAtMs: number | null;
  /** True when a run completed, even if its host was lost before the end was acknowledged. */
  hasEverCompleted: boolean;
  failures: number;
  /** Hosts that the task crashed. */
  crashes: number;
  startsAfterCrashes: number;
};

/** Time after an acknowledged completion from which a task that may be copied starts no more, in ms. */
const COPY_START_MS = 1_000;

/** Number of crashed hosts after which a task starts at most {@link MAX_STARTS_AFTER_CRASHES} times. */
const MAX_CRASHES = 3;

const MAX_STARTS_AFTER_CRASHES = 2;

/** Records starts and ends on the hosts and collects violations of invariants. */
export class JobOracle {
  readonly jobs = new Map<string, JobRecord>();

  readonly violations: InvariantViolation[] = [];

  /** Long running tasks that are away. */
  readonly availability = new AvailabilityTracker(
    (task) => this.findStep(task),
    (task, atMs, detail) => this.#addViolation(JobInvariant.KeepsAvailability, task, atMs, detail),
  );

  /** Runs of cancelled jobs. */
  readonly cancellations = new CancellationTracker((task, atMs, detail) =>
    this.#addViolation(JobInvariant.StartsNoCancelledJob, task, atMs, detail),
  );

  startCount = 0;

  /** Maximum attempts of each task. */
  readonly maxAttempts: number;

  /** CPU cap of each organisation. */
  readonly capCpuMillis: number;

  readonly #tasks = new Map<string, TaskTrace>();

  /** Checkpoint from which the first member of each run of a gang resumed. */
  readonly #gangCheckpoints = new Map<string, string>();

  readonly #usedCpuByOrganisation = new Map<string, number>();

  constructor(maxAttempts: number, capCpuMillis: number) {
    this.maxAttempts = maxAttempts;
    this.capCpuMillis = capCpuMillis;
  }

  findStep(task: string): StepSpec | null {
    const name = parseTaskName(task);
    return (name && this.jobs.get(name.jobId)?.spec.steps[name.step]) ?? null;
  }

  recordStart(task: string, host: string, atMs: number, conditions: StartConditions): void {
    this.startCount += 1;
    this.cancellations.recordStart(task, host, atMs, conditions.isLate);
    const step = this.findStep(task);
    const name = parseTaskName(task);
    if (step === null || name === null) {
      this.#addViolation(JobInvariant.RunsOnlySubmitted, task, atMs, host);
      return;
    }
    const trace = this.#getTrace(task);
    const isRepeated = step.isSpeculative
      ? trace.running.size > 1 ||
        (!conditions.isLate && atMs - (trace.doneSeenAtMs ?? Infinity) > COPY_START_MS)
      : trace.running.size > 0 || trace.isDone;
    if (isRepeated) {
      this.#addViolation(
        JobInvariant.RunsOnce,
        task,
        atMs,
        `${host}, ${[...trace.running].join()}`,
      );
    }
    if (trace.failures >= this.maxAttempts) {
      this.#addViolation(
        JobInvariant.KeepsAttemptLimit,
        task,
        atMs,
        `started after ${trace.failures} failures`,
      );
    }
    if (trace.crashes >= MAX_CRASHES && !step.isLasting) {
      trace.startsAfterCrashes += 1;
      if (trace.startsAfterCrashes > MAX_STARTS_AFTER_CRASHES) {
        this.#addViolation(
          JobInvariant.KeepsCrashLimit,
          task,
          atMs,
          `started after ${trace.crashes} hosts had crashed under it`,
        );
      }
    }
    const isEarly = step.after.some((position) => this.#hasIncompleteTask(name.jobId, position));
    if (isEarly) {
      this.#addViolation(JobInvariant.KeepsStepOrder, task, atMs, host);
    }
    this.#checkHost(task, step, { host, atMs, ...conditions });
    trace.running.add(host);
    this.#addUsage(name.jobId, step.need.cpuMillis, task, atMs);
  }

  #checkHost(
    task: string,
    step: StepSpec,
    start: StartConditions & { readonly host: string; readonly atMs: number },
  ): void {
    const { host, atMs, available, isDrained, isEvacuated } = start;
    if (!fits(step, available)) {
      const detail = `${JSON.stringify(available)} available on ${host}`;
      this.#addViolation(JobInvariant.KeepsHostCapacity, task, atMs, detail);
    }
    if (isDrained) {
      this.#addViolation(JobInvariant.SparesDrainingHosts, task, atMs, host);
    }
    if (isEvacuated) {
      this.#addViolation(JobInvariant.SparesEvacuatedDataCentres, task, atMs, host);
    }
  }

  recordEnd(task: string, host: string, end: RunEnd, atMs: number): void {
    const trace = this.#getTrace(task);
    trace.running.delete(host);
    this.availability.recordEnd(task, atMs);
    this.cancellations.recordEnd(task, host);
    trace.isDone ||= end === RunEnd.Done;
    trace.hasEverCompleted ||= end === RunEnd.Done;
    trace.failures += end === RunEnd.Failed ? 1 : 0;
    const name = parseTaskName(task);
    const step = this.findStep(task);
    if (name !== null && step !== null) {
      this.#addUsage(name.jobId, -step.need.cpuMillis, task, 0);
    }
  }

  /** Records the checkpoint from which a task resumes, '' if it begins anew. */
  recordResumption(
    { task, run, checkpoint }: Pick<StartOrder, 'task' | 'run' | 'checkpoint'>,
    atMs: number,
  ): void {
    if (this.findStep(task)?.isGang === true) {
      const key = `${getGang(task)}#${run}`;
      const known = this.#gangCheckpoints.get(key) ?? checkpoint;
      this.#gangCheckpoints.set(key, known);
      if (known !== checkpoint) {
        const detail = `from "${checkpoint}", another member from "${known}"`;
        this.#addViolation(JobInvariant.ResumesGangTogether, task, atMs, detail);
      }
    }
  }

  /** Records that a task crashed its host. */
  recordCrash(task: string): void {
    this.#getTrace(task).crashes += 1;
  }

  /** Returns how many hosts a task has crashed. */
  countCrashes(task: string): number {
    return this.#getTrace(task).crashes;
  }

  /** Records the acknowledgement of an end that no process has received. */
  recordUnseenEnd(task: string, host: string, end: RunEnd, atMs: number): void {
    this.#addViolation(JobInvariant.AcknowledgesSeenEnds, task, atMs, `${end} on ${host}`);
  }

  /** Records that an owner acknowledged a completion. */
  recordSeenEnd(task: string, atMs: number): void {
    this.#getTrace(task).doneSeenAtMs ??= atMs;
  }

  /** Records that an unacknowledged completion was lost, so that the task may run again. */
  recordLostEnd(task: string): void {
    this.#getTrace(task).isDone = false;
  }

  /**
   * Returns true while a task of a step has never completed; a completion counts even when it
   * was lost before its acknowledgement.
   */
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
        `${organisation} uses ${used} CPU millis`,
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
      doneSeenAtMs: null,
      hasEverCompleted: false,
      failures: 0,
      crashes: 0,
      startsAfterCrashes: 0,
    };
    this.#tasks.set(task, trace);
    return trace;
  }

  #addViolation(promise: JobInvariant, task: string, atMs: number, detail: string): void {
    this.violations.push({ promise, task, atMs, detail });
  }
}
