import type { QueueSettings } from '@baobabwell/fleet';
import type { Job, JobSpec, Step } from '@baobabwell/jobs';

/** Lists the earliest end of each step after the start of the job, in ms, by the estimates. */
function listEarliestEndsMs({ steps }: JobSpec): readonly number[] {
  const endsMs: number[] = [];
  steps.forEach(({ after, estimateMs }) => {
    const before = after.map((position) => endsMs[position] ?? 0);
    endsMs.push(Math.max(0, ...before) + estimateMs);
  });
  return endsMs;
}

/** Returns the length of the critical path of a job, in ms, by the estimates. */
export function getCriticalPathMs(spec: JobSpec): number {
  return Math.max(0, ...listEarliestEndsMs(spec));
}

/**
 * Lists the length of the critical path from the start of each step to the end of the job, in ms.
 */
export function listRemainingPathsMs({ steps }: JobSpec): readonly number[] {
  const remainingMs = steps.map(({ estimateMs }) => estimateMs);
  for (let position = steps.length - 1; position >= 0; position -= 1) {
    const { after } = steps[position] as JobSpec['steps'][number];
    after.forEach((before) => {
      const own = steps[before]?.estimateMs ?? 0;
      remainingMs[before] = Math.max(remainingMs[before] ?? 0, own + (remainingMs[position] ?? 0));
    });
  }
  return remainingMs;
}

/** Returns the CPU time that a job takes, in thousandths of a core times ms, by the estimates. */
export function getCpuWork({ steps }: JobSpec): number {
  return steps.reduce(
    (sum, { taskCount, need, estimateMs }) => sum + taskCount * need.cpuMillis * estimateMs,
    0,
  );
}

/** Returns the CPU that the widest step of a job uses at once, in thousandths of a core. */
export function getWidestStepCpu({ steps }: JobSpec): number {
  return Math.max(0, ...steps.map(({ taskCount, need }) => taskCount * need.cpuMillis));
}

/** Returns the time that a job may take without being late, in ms. */
export function getObjectiveMs(spec: JobSpec, queue: QueueSettings): number {
  return queue.stretch * getCriticalPathMs(spec) + queue.targetLatencyMs;
}

/** Properties of a step by which steps are ordered. */
export type StepUrgency = {
  readonly priority: number;
  readonly isLongRunning: boolean;
  readonly isBestEffort: boolean;
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
  nowMs: number,
  wallMs: number,
): StepUrgency {
  const { job, spec, position } = step;
  const startMs = getStartMs(job, step.occurrence, nowMs, wallMs);
  const objectiveMs = queue === null ? 0 : getObjectiveMs(job.record.spec, queue);
  const remainingMs = listRemainingPathsMs(job.record.spec)[position] ?? 0;
  const dueMs = startMs + objectiveMs;
  return {
    priority: queue?.priority ?? 0,
    isLongRunning: spec.isLasting,
    isBestEffort: spec.isFilling,
    laxityMs: dueMs - nowMs - remainingMs,
    dueMs,
  };
}
