import type { JobRecord, StepSpec, StoredStart } from './BaobabwellJobsModel';

import { TaskCrashes } from './BaobabwellJobsCrashes';
import { countTasks, estimateJobBytes, TaskBudget } from './BaobabwellJobsMemory';
import { formatTaskName, JobState } from './BaobabwellJobsModel';
import { OccurrenceSet } from './BaobabwellJobsOccurrences';

// A task that nothing has happened to shares these, as most of the tasks that wait and that are done.
const NO_RUNS: ReadonlySet<Run> = new Set();
const NO_NUMBERS: readonly number[] = [];
const NO_HOSTS: ReadonlySet<string> = new Set();
const NO_STARTS: readonly StoredStart[] = [];

/** Phase of a task. */
export enum TaskPhase {
  Waiting = 'waiting',
  /** At least one run may exist on a host. */
  Placed = 'placed',
  Done = 'done',
}

/** Phase of a run. */
export enum RunPhase {
  /** The start order is sent once the start is stored. */
  StartPending = 'pending',
  /** The start order was sent and has no answer yet. */
  StartSent = 'asked',
  /** The outcome of the start order is unknown: the run may exist on the host. */
  Unknown = 'unclear',
  Running = 'running',
  Stopping = 'stopping',
}

/** One execution of a task on a host. */
export class Run {
  phase = RunPhase.StartSent;

  /** Latest reported progress, in percent. */
  progressPercent = 0;

  /** CPU limit of the run (throttle), in percent. */
  cpuLimitPercent = 100;

  /**
   * Latest reading: for a serving task its tail latency in ms, otherwise the CPU used in
   * thousandths of a core.
   */
  reading: number | null = null;

  /** Monotonic time of the answer to the start order or to the latest stop order, in ms. */
  answeredAtMs: number | null = null;

  /** The host's clock when it answered the start order, in ms; `null` while that is unknown. */
  startClockMs: number | null = null;

  /** Start of the host's incarnation when the run was placed, in ms since 1970. */
  hostBornMs: number | null = null;

  /** True for a run that a former owner stored before its start. */
  isRestored = false;

  /** False for a run that a former owner started, at a time that this owner does not know. */
  isStartKnown = true;

  /** True for a run whose host was cold, and therefore slow, when it was placed there. */
  isOnColdHost = false;

  /** True for a run that was started beside another run of its task. */
  isCopy = false;

  /** Checkpoint from which the run resumes; '' if it begins anew. */
  readonly checkpoint: string;

  readonly key: string;

  /** Monotonic time at which progress last rose, in ms. */
  progressedAtMs: number;

  /** @param startSentAtMs monotonic time at which the start order was sent, in ms. */
  constructor(
    readonly task: Task,
    readonly number: number,
    readonly hostId: string,
    readonly startSentAtMs: number,
  ) {
    this.progressedAtMs = startSentAtMs;
    this.checkpoint = task.resumedCheckpoint;
    this.key = `${task.name}#${number}`;
  }

  /** True for a run that resumes from a checkpoint. */
  get isResumed(): boolean {
    return this.checkpoint !== '';
  }

  /** Records the progress and the reading that the host reported for the run. */
  recordReport(percent: number, reading: number | null, nowMs: number): void {
    this.task.step.job.hasRun = true;
    if (percent > this.progressPercent) {
      this.progressedAtMs = nowMs;
    }
    this.progressPercent = percent;
    this.reading = reading;
    if (this.phase === RunPhase.StartSent || this.phase === RunPhase.Unknown) {
      this.phase = RunPhase.Running;
    }
  }
}

/** A task with all its runs that may exist on hosts. */
export class Task {
  phase = TaskPhase.Waiting;

  /** Numbers of the runs that ended as failed. */
  failedRuns = NO_NUMBERS;

  lastRun = 0;

  #checkpoint = '';

  #runs = NO_RUNS;

  #avoidedHosts = NO_HOSTS;

  /** Crashes of hosts that the task may have caused. */
  readonly crashes = new TaskCrashes();

  /** Runs that a former owner stored before their start, until they are tracked. */
  storedStarts = NO_STARTS;

  /** Monotonic time before which the task is not started again, in ms. */
  notBeforeMs = 0;

  constructor(
    readonly step: Step,
    readonly index: number,
  ) {}

  get name(): string {
    const { job, occurrence, position } = this.step;
    return formatTaskName({
      jobId: job.record.id,
      occurrence,
      step: position,
      index: this.index,
    });
  }

  /** Runs that may exist on hosts. */
  get runs(): ReadonlySet<Run> {
    return this.#runs;
  }

  /** Latest checkpoint that a host reported; '' if there is none. */
  get checkpoint(): string {
    return this.#checkpoint;
  }

  /** Checkpoint from which the next run resumes: the members of a gang have to resume from one of them. */
  get resumedCheckpoint(): string {
    return this.step.spec.isGang ? this.step.gangCheckpoint : this.#checkpoint;
  }

  /** Records the checkpoint that a host reported, '' if it reported none. */
  recordCheckpoint(checkpoint: string): void {
    if (checkpoint !== '' && checkpoint !== this.#checkpoint) {
      this.#checkpoint = checkpoint;
      this.step.gangCheckpoint = checkpoint;
    }
  }

  /** Hosts on which a run of this task failed; other hosts are preferred. */
  get avoidedHosts(): ReadonlySet<string> {
    return this.#avoidedHosts;
  }

  /** Adds a host that other hosts are preferred to. */
  addAvoidedHost(hostId: string): void {
    this.#avoidedHosts = new Set([...this.#avoidedHosts, hostId]);
  }

  /** True while the task is not started because it has probably crashed too many hosts. */
  get isWithheld(): boolean {
    return this.crashes.areTooMany && !this.step.spec.isLasting;
  }

  /** Adds a run with the given number. */
  addRun(hostId: string, number: number, nowMs: number): Run {
    const run = new Run(this, number, hostId, nowMs);
    this.#runs = new Set([...this.#runs, run]);
    this.lastRun = Math.max(this.lastRun, number);
    if (this.phase === TaskPhase.Waiting) {
      this.phase = TaskPhase.Placed;
      this.step.waitingCount -= 1;
    }
    this.step.addRunsOnHost(hostId, 1);
    return run;
  }

  /** Removes a run that can no longer exist on its host. */
  removeRun(run: Run): void {
    if (!this.#runs.has(run)) {
      return;
    }
    this.#runs =
      this.#runs.size === 1 ? NO_RUNS : new Set([...this.#runs].filter((other) => other !== run));
    this.step.addRunsOnHost(run.hostId, -1);
    if (this.phase === TaskPhase.Placed && this.runs.size === 0) {
      this.phase = TaskPhase.Waiting;
      this.step.waitingCount += 1;
    }
  }

  /** Records that a run failed; returns false if the failure was recorded before. */
  recordFailure(runNumber: number): boolean {
    if (this.failedRuns.includes(runNumber)) {
      return false;
    }
    this.failedRuns = [...this.failedRuns, runNumber];
    return true;
  }

  /** Restores the persisted progress of the task. */
  restoreProgress(lastRun: number, failedRuns: readonly number[], checkpoint: string): void {
    this.lastRun = lastRun;
    this.failedRuns = failedRuns;
    this.recordCheckpoint(checkpoint);
  }

  /** Records that the task is done; returns false if that was recorded before. */
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

  /** Latest new checkpoint of any task; that of one member is valid for its whole gang. */
  gangCheckpoint = '';

  /**
   * Runs that former owners stored as leftover: those of tasks that are done, or of any task once the job
   * had ended. Their hosts may not have ended them yet.
   */
  formerLeftoverCount = 0;

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

  /** Number of tasks of which at least one run may exist on a host. */
  get placedCount(): number {
    return this.spec.taskCount - this.doneCount - this.waitingCount;
  }

  /** Returns true while a run of the step may exist on a host. */
  get hasRuns(): boolean {
    return this.#runsByHost.size > 0;
  }

  countRunsOnHost(hostId: string): number {
    return this.#runsByHost.get(hostId) ?? 0;
  }

  addRunsOnHost(hostId: string, change: number): void {
    const count = this.countRunsOnHost(hostId) + change;
    if (count === 0) {
      this.#runsByHost.delete(hostId);
    } else {
      this.#runsByHost.set(hostId, count);
    }
  }
}

/** Returns true if a job in this state has ended: none of its tasks is started any more. */
export function isEnded(state: JobState): boolean {
  return state === JobState.Completed || state === JobState.Failed || state === JobState.Cancelled;
}

/**
 * Counts the tracked runs of a step whose tasks need no run any more: those of tasks that are done, and all
 * once the job has ended.
 */
export function countLeftoverRuns({ job, tasks }: Step): number {
  return tasks
    .filter(({ phase }) => job.isEnded || phase === TaskPhase.Done)
    .reduce((count, { runs }) => count + runs.size, 0);
}

/** A job with the progress of its tasks. */
export class Job {
  /** The steps of the occurrences that are tracked task by task. */
  readonly occurrences = new Map<number, readonly Step[]>();

  readonly doneOccurrences = new OccurrenceSet();

  /** Memory that the job takes at most, in bytes. */
  readonly bytes: number;

  state = JobState.Queued;

  /** State in the persisted row; callers see that a job ended only after the end is persisted. */
  storedState = JobState.Queued;

  /** True once a start of a task was ordered. */
  hasStarted = false;

  /** True once a host is known to have started a task. */
  hasRun = false;

  /** True for a job that had ended when this owner read it. */
  hadEnded = false;

  /** Version of the progress row; 0 if there is none. */
  progressVersion = 0;

  /** Monotonic time at which the job ended, in ms. */
  endedAtMs: number | null = null;

  #record: JobRecord;

  readonly #budget: TaskBudget;

  /**
   * @param acceptedVersion version of the store at which the job was accepted.
   * @param budget counts the tasks that are tracked one by one.
   */
  constructor(
    record: JobRecord,
    readonly acceptedVersion: number,
    budget = new TaskBudget(Infinity),
  ) {
    this.#record = record;
    this.#budget = budget;
    this.bytes = estimateJobBytes(record.spec);
  }

  get record(): JobRecord {
    return this.#record;
  }

  get isEnded(): boolean {
    return isEnded(this.state);
  }

  /** Returns the number of occurrences: how often the steps of the job run. */
  countOccurrences(): number {
    return this.record.spec.repeat?.count ?? 1;
  }

  /** Returns true when the steps of an occurrence are tracked, or memory suffices to track them. */
  canTrack(occurrence: number): boolean {
    return this.occurrences.has(occurrence) || this.#budget.canAdd(countTasks(this.record.spec));
  }

  /** Returns the steps of an occurrence; the first call creates them. */
  getOccurrence(occurrence: number): readonly Step[] {
    const existing = this.occurrences.get(occurrence);
    if (existing !== undefined) {
      return existing;
    }
    const steps = this.record.spec.steps.map(
      (spec, position) => new Step(this, occurrence, position, spec),
    );
    if (this.doneOccurrences.has(occurrence)) {
      steps.forEach(({ tasks }) => tasks.forEach((task) => task.recordDone()));
    }
    this.occurrences.set(occurrence, steps);
    this.#budget.add(countTasks(this.record.spec));
    return steps;
  }

  /** Stops tracking the steps of an occurrence of which no run can exist any more. */
  removeOccurrence(occurrence: number): void {
    const steps = this.occurrences.get(occurrence);
    const mayRun = steps?.some((step) => step.hasRuns || step.formerLeftoverCount > 0);
    if (mayRun === false) {
      this.occurrences.delete(occurrence);
      this.#budget.remove(countTasks(this.record.spec));
    }
  }

  /** Keeps of an ended job what answers a caller; returns false while runs of it may exist. */
  compact(): boolean {
    [...this.occurrences.keys()].forEach((occurrence) => this.removeOccurrence(occurrence));
    if (this.#record.spec.payload !== '') {
      this.#record = { ...this.#record, spec: { ...this.#record.spec, payload: '' } };
    }
    return this.occurrences.size === 0;
  }

  /** Lists the steps of all occurrences that were created so far. */
  listSteps(): readonly Step[] {
    return [...this.occurrences.values()].flat();
  }

  /** Ends the job in the given state. */
  end(state: JobState, nowMs: number): void {
    this.state = state;
    this.endedAtMs = nowMs;
  }

  /**
   * Returns the state that callers see: a job that ended shows its end only once that is persisted.
   */
  getVisibleState(): JobState {
    if (isEnded(this.storedState)) {
      return this.storedState;
    }
    return this.hasStarted ? JobState.Running : JobState.Queued;
  }
}
