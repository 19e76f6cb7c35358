import type { DurationEstimator } from '@baobabwell/durations';
import type { QueueSettings } from '@baobabwell/fleet';
import type { Job, JobSpec, Step } from '@baobabwell/jobs';

/** What an estimator predicts for a job, until its version changes. */
type JobPrediction = {
  readonly version: number;
  readonly criticalPathMs: number;
  /** Length of the critical path from the start of each step to the end of the job, in ms. */
  readonly remainingPathsMs: readonly number[];
  /** CPU time of the job, in thousandths of a core times ms. */
  readonly cpuWork: number;
};

const predictions = new WeakMap<DurationEstimator, WeakMap<JobSpec, JobPrediction>>();

function listPathsMs({ steps }: JobSpec, durationsMs: readonly number[]): readonly number[] {
  const pathsMs = [...durationsMs];
  for (let position = steps.length - 1; position >= 0; position -= 1) {
    const { after } = steps[position] as JobSpec['steps'][number];
    after.forEach((before) => {
      const own = durationsMs[before] ?? 0;
      pathsMs[before] = Math.max(pathsMs[before] ?? 0, own + (pathsMs[position] ?? 0));
    });
  }
  return pathsMs;
}

function createPrediction(
  spec: JobSpec,
  queue: string,
  durations: DurationEstimator,
): JobPrediction {
  const { steps } = spec;
  // A step ends with its longest task.
  const remainingPathsMs = listPathsMs(
    spec,
    steps.map((step) => durations.getLongestMs(queue, step)),
  );
  return {
    version: durations.version,
    criticalPathMs: Math.max(0, ...remainingPathsMs),
    remainingPathsMs,
    cpuWork: steps.reduce(
      (sum, step) =>
        sum + step.taskCount * step.need.cpuMillis * durations.getExpectedMs(queue, step),
      0,
    ),
  };
}

/** Returns the prediction for a job, which is computed once for each version of the estimator. */
function getPrediction(spec: JobSpec, queue: string, durations: DurationEstimator): JobPrediction {
  const known = predictions.get(durations) ?? new WeakMap<JobSpec, JobPrediction>();
  const cached = known.get(spec);
  if (cached?.version === durations.version) {
    return cached;
  }
  const prediction = createPrediction(spec, queue, durations);
  known.set(spec, prediction);
  predictions.set(durations, known);
  return prediction;
}

/** Returns the expected length of the critical path of a job, in ms. */
export function getCriticalPathMs(
  spec: JobSpec,
  queue: string,
  durations: DurationEstimator,
): number {
  return getPrediction(spec, queue, durations).criticalPathMs;
}

/**
 * Lists the expected length of the critical path from the start of each step to the end of the job, in ms.
 */
export function listRemainingPathsMs(
  spec: JobSpec,
  queue: string,
  durations: DurationEstimator,
): readonly number[] {
  return getPrediction(spec, queue, durations).remainingPathsMs;
}

/** Returns the expected CPU time of a job, in thousandths of a core times ms. */
export function getCpuWork(spec: JobSpec, queue: string, durations: DurationEstimator): number {
  return getPrediction(spec, queue, durations).cpuWork;
}

/** Returns the CPU that the widest step of a job uses at once, in thousandths of a core. */
export function getWidestStepCpu({ steps }: JobSpec): number {
  return Math.max(0, ...steps.map(({ taskCount, need }) => taskCount * need.cpuMillis));
}

/**
 * Returns the time that a job may take without being late, in ms. Its queue promises a multiple of the work
 * that the job turns out to be, so the expected work counts rather than the estimate.
 */
export function getObjectiveMs(
  spec: JobSpec,
  queue: QueueSettings,
  durations: DurationEstimator,
): number {
  return queue.stretch * getCriticalPathMs(spec, queue.name, durations) + queue.targetLatencyMs;
}

/** Properties of a step by which steps are ordered. */
export type StepUrgency = {
  readonly priority: number;
  readonly isLongRunning: boolean;
  readonly isBestEffort: boolean;
  /** A task of the job has started. */
  readonly hasStarted: boolean;
  /** Time for which the job could wait when it arrived, in ms; negative if it was late then. */
  readonly maxWaitMs: number;
  /**
   * Time left until the due time beyond the remaining critical path, in ms; negative if the step is
   * late.
   */
  readonly laxityMs: number;
  readonly dueMs: number;
};

/** Returns the time at which an occurrence was due to start, on the monotonic clock, in ms. */
function getStartMs(job: Job, occurrence: number, nowMs: number, wallMs: number): number {
  const { repeat } = job.record.spec;
  const wallStartMs =
    repeat === null ? job.record.acceptedAtMs : repeat.firstDueMs + occurrence * repeat.intervalMs;
  return nowMs - (wallMs - wallStartMs);
}

/** Computes how urgent a step is. */
export function getUrgency(
  step: Step,
  queue: QueueSettings | null,
  durations: DurationEstimator,
  nowMs: number,
  wallMs: number,
): StepUrgency {
  const { job, spec, position } = step;
  const startMs = getStartMs(job, step.occurrence, nowMs, wallMs);
  const objectiveMs = queue === null ? 0 : getObjectiveMs(job.record.spec, queue, durations);
  const pathsMs = listRemainingPathsMs(job.record.spec, job.record.queue, durations);
  const remainingMs = pathsMs[position] ?? 0;
  const dueMs = startMs + objectiveMs;
  return {
    priority: queue?.priority ?? 0,
    isLongRunning: spec.isLasting,
    isBestEffort: spec.isFilling,
    hasStarted: job.hasStarted,
    maxWaitMs: objectiveMs - getCriticalPathMs(job.record.spec, job.record.queue, durations),
    laxityMs: dueMs - nowMs - remainingMs,
    dueMs,
  };
}
