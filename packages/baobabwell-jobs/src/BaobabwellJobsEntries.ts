import type { JobRecord, StepSpec } from './BaobabwellJobsModel';

import { formatTaskName, JobState } from './BaobabwellJobsModel';

/** Where a task stands. */
export enum TaskPhase {
  Waiting = 'waiting',
  /** At least one run may exist on a host. */
  Placed = 'placed',
  Done = 'done',
}

/** Where a run stands. */
export enum RunPhase {
  /** The start was sent and not answered yet. */
  Asked = 'asked',
  /** The start may or may not have been carried out. */
  Unclear = 'unclear',
  Running = 'running',
  Stopping = 'stopping',
}

/** One start of a task on a host. */
export class Run {
  phase = RunPhase.Asked;

  /** Progress as last reported, 0 to 100. */
  progressPercent = 0;

  /** Share at which the run is let work, 0 to 100. */
  pacePercent = 100;

  /** Latest reading: tail latency in ms of a serving task, else thousandths of a core in use. */
  reading: number | null = null;

  /** Monotonic time at which the start or the latest order to stop was answered, in ms. */
  answeredAtMs: number | null = null;

  /** Monotonic time at which progress last rose, in ms. */
  progressedAtMs: number;

  /** @param askedAtMs monotonic time of the start order, in ms. */
  constructor(
    readonly task: Task,
    readonly number: number,
    readonly hostId: string,
    readonly askedAtMs: number,
  ) {
    this.progressedAtMs = askedAtMs;
  }

  get key(): string {
    return `${this.task.name}#${this.number}`;
  }

  /** Records what the host reported of the run. */
  recordReport(percent: number, reading: number | null, nowMs: number): void {
    if (percent > this.progressPercent) {
      this.progressedAtMs = nowMs;
    }
    this.progressPercent = percent;
    this.reading = reading;
    if (this.phase === RunPhase.Asked || this.phase === RunPhase.Unclear) {
      this.phase = RunPhase.Running;
    }
  }
}

/** One task with everything that may be running of it. */
export class Task {
  readonly name: string;

  phase = TaskPhase.Waiting;

  /** Numbers of the runs that ended as failed. */
  failedRuns: readonly number[] = [];

  lastRun = 0;

  checkpoint = '';

  readonly runs = new Set<Run>();

  /** Hosts on which a run of this task failed; others are tried first. */
  readonly avoidedHosts = new Set<string>();

  /** No start before this monotonic time, in ms. */
  notBeforeMs = 0;

  constructor(
    readonly step: Step,
    readonly index: number,
  ) {
    const { job, occurrence, position } = step;
    this.name = formatTaskName({ jobId: job.record.id, occurrence, step: position, index });
  }

  /** Adds a run and gives it its number. */
  addRun(hostId: string, number: number, nowMs: number): Run {
    const run = new Run(this, number, hostId, nowMs);
    this.runs.add(run);
    this.lastRun = Math.max(this.lastRun, number);
    if (this.phase === TaskPhase.Waiting) {
      this.phase = TaskPhase.Placed;
      this.step.waitingCount -= 1;
    }
    this.step.addOnHost(hostId, 1);
    return run;
  }

  /** Removes a run that cannot exist on its host any more. */
  removeRun(run: Run): void {
    if (!this.runs.delete(run)) {
      return;
    }
    this.step.addOnHost(run.hostId, -1);
    if (this.phase === TaskPhase.Placed && this.runs.size === 0) {
      this.phase = TaskPhase.Waiting;
      this.step.waitingCount += 1;
    }
  }

  /** Records that a run ended as failed; gives false when that was known. */
  recordFailure(runNumber: number): boolean {
    if (this.failedRuns.includes(runNumber)) {
      return false;
    }
    this.failedRuns = [...this.failedRuns, runNumber];
    return true;
  }

  /** Brings back what lasts of the task. */
  applyProgress(lastRun: number, failedRuns: readonly number[], checkpoint: string): void {
    this.lastRun = lastRun;
    this.failedRuns = failedRuns;
    this.checkpoint = checkpoint;
  }

  /** Records that the task is done; gives false when that was known. */
  recordDone(): boolean {
    if (this.phase === TaskPhase.Done) {
      return false;
    }
    if (this.phase === TaskPhase.Waiting) {
      this.step.waitingCount -= 1;
    }
    this.phase = TaskPhase.Done;
    this.step.doneCount += 1;
    return true;
  }
}

/** One step of one occurrence of a job. */
export class Step {
  readonly tasks: readonly Task[];

  doneCount = 0;

  waitingCount: number;

  readonly #runsByHost = new Map<string, number>();

  constructor(
    readonly job: Job,
    readonly occurrence: number,
    readonly position: number,
    readonly spec: StepSpec,
  ) {
    this.waitingCount = spec.taskCount;
    this.tasks = Array.from({ length: spec.taskCount }, (_, index) => new Task(this, index));
  }

  isDone(): boolean {
    return this.doneCount === this.spec.taskCount;
  }

  countOnHost(hostId: string): number {
    return this.#runsByHost.get(hostId) ?? 0;
  }

  addOnHost(hostId: string, change: number): void {
    const count = this.countOnHost(hostId) + change;
    if (count === 0) {
      this.#runsByHost.delete(hostId);
    } else {
      this.#runsByHost.set(hostId, count);
    }
  }
}

/** True when nothing more will be started for the job. */
export function isEnded(state: JobState): boolean {
  return state === JobState.Completed || state === JobState.Failed || state === JobState.Cancelled;
}

/** A job with the progress of its tasks. */
export class Job {
  readonly occurrences = new Map<number, readonly Step[]>();

  readonly doneOccurrences = new Set<number>();

  state = JobState.Queued;

  /** State of the row in the store; callers are told of an end only when it is stored. */
  storedState = JobState.Queued;

  hasStarted = false;

  /** Version of the progress row; 0 while there is none. */
  progressVersion = 0;

  /** Monotonic time at which the job ended, in ms. */
  endedAtMs: number | null = null;

  /** @param acceptedVersion place of the job in the store's order of writes. */
  constructor(
    readonly record: JobRecord,
    readonly acceptedVersion: number,
  ) {}

  get isEnded(): boolean {
    return isEnded(this.state);
  }

  /** Number of times that the steps run. */
  countOccurrences(): number {
    return this.record.spec.repeat?.count ?? 1;
  }

  /** Gets the steps of an occurrence, which are created when first asked for. */
  getOccurrence(occurrence: number): readonly Step[] {
    const known = this.occurrences.get(occurrence);
    if (known !== undefined) {
      return known;
    }
    const steps = this.record.spec.steps.map(
      (spec, position) => new Step(this, occurrence, position, spec),
    );
    this.occurrences.set(occurrence, steps);
    return steps;
  }

  /** All steps that were created. */
  listSteps(): readonly Step[] {
    return [...this.occurrences.values()].flat();
  }

  /** Ends the job. */
  end(state: JobState, nowMs: number): void {
    this.state = state;
    this.endedAtMs = nowMs;
  }

  /** What a caller may be told: an end only once it lasts. */
  getShownState(): JobState {
    if (isEnded(this.storedState)) {
      return this.storedState;
    }
    return this.hasStarted ? JobState.Running : JobState.Queued;
  }
}
