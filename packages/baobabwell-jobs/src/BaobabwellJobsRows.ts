import type { RunOnHost } from './BaobabwellJobsModel';
import type { Job, Step, Task } from './BaobabwellJobsTracking';

import { z } from 'zod';

import { CrashSuspicion } from './BaobabwellJobsCrashes';
import { JobState } from './BaobabwellJobsModel';
import { TaskPhase } from './BaobabwellJobsTracking';

const HEX = 16;

/** Bits of a hexadecimal digit. */
const DIGIT_BITS = 4;

/**
 * Number of occurrences up to which they are listed one by one, as older builds read them. The longest list
 * stays under the 64 KiB that the store takes for a row.
 */
const MAX_LISTED_OCCURRENCES = 8_000;

/** Longest row of a job's progress, in bytes; the store takes 64 KiB and refuses a transaction with a longer one. */
const MAX_PROGRESS_BYTES = 60_000;

const taskProgress = z.tuple([
  z.number().int(),
  z.number().int(),
  z.array(z.number().int()),
  z.string(),
]);

const runOnHost = z.object({
  run: z.number().int(),
  hostId: z.string(),
  bornMs: z.number().nullable(),
});

const taskCrashes = z.object({
  index: z.number().int(),
  /** Numbers of the runs under which a host crashed. */
  runs: z.array(z.number().int()),
  attributedRuns: z.array(z.number().int()),
  /** Runs that may exist, stored before their start, or on hosts that may have crashed under them. */
  starts: z.array(runOnHost),
  /** Those of `runs` whose hosts may return; older builds neither write nor read this. */
  refutableRuns: z.array(runOnHost).optional(),
});

const stepProgress = z.object({
  /** Bit set of the tasks that are done, in hexadecimal. */
  done: z.string().regex(/^[0-9a-f]+$/),
  /**
   * Index, highest run number, failed runs and checkpoint of each task that has failed runs or a
   * checkpoint.
   */
  tasks: z.array(taskProgress),
  /** Tasks that may crash their hosts; older builds neither write nor read this. */
  crashes: z.array(taskCrashes).optional(),
  /** Number of runs that may exist and are not wanted any more; older builds neither write nor read this. */
  leftover: z.number().int().optional(),
});

/** Numbers of the runs that may exist and are not wanted any more, by step. */
export type LeftoverRuns = ReadonlyMap<Step, number>;

const jobProgress = z.object({
  state: z.enum(JobState),
  doneOccurrences: z.array(z.number().int()),
  /** First and last of consecutive occurrences that are done, in place of a long list; older builds do not read this. */
  doneRanges: z.array(z.tuple([z.number().int(), z.number().int()])).optional(),
  occurrences: z.array(z.tuple([z.number().int(), z.array(stepProgress)])),
  /** Tasks with a checkpoint or few failed runs are missing: the row would have been too long with them. */
  isShortened: z.boolean().optional(),
});

/** Persisted progress of a job. */
export type JobProgress = z.infer<typeof jobProgress>;

/** Parses the progress row of a job; returns `null` if the value is no such row. */
export function parseJobProgress(value: unknown): JobProgress | null {
  const parsed = jobProgress.safeParse(value);
  return parsed.success ? parsed.data : null;
}

/** Formats the tasks that are done as a bit set in hexadecimal, the first task in its lowest bit. */
function formatDone(tasks: readonly Task[]): string {
  const digits: string[] = [];
  let digit = 0;
  tasks.forEach(({ phase }, index) => {
    digit += phase === TaskPhase.Done ? 2 ** (index % DIGIT_BITS) : 0;
    if (index % DIGIT_BITS === DIGIT_BITS - 1 || index === tasks.length - 1) {
      digits.push(digit.toString(HEX));
      digit = 0;
    }
  });
  return digits
    .toReversed()
    .join('')
    .replace(/^0+(?=.)/, '');
}

/** Returns true if the task with an index is in such a bit set. */
function isInDone(done: string, index: number): boolean {
  const digit = done.at(-1 - Math.floor(index / DIGIT_BITS)) ?? '0';
  return Math.floor(parseInt(digit, HEX) / 2 ** (index % DIGIT_BITS)) % 2 === 1;
}

function createRunOnHost({ number, hostId, hostBornMs }: RunOnHost): z.infer<typeof runOnHost> {
  return { run: number, hostId, bornMs: hostBornMs };
}

function createTaskCrashes({ index, crashes, runs }: Task): z.infer<typeof taskCrashes> {
  const { refutableRuns } = crashes;
  return {
    index,
    runs: [...crashes.runs],
    attributedRuns: [...crashes.attributedRuns],
    starts: [...crashes.unconfirmedRuns, ...runs].map(createRunOnHost),
    ...(refutableRuns.length > 0 ? { refutableRuns: refutableRuns.map(createRunOnHost) } : {}),
  };
}

function createStepProgress(step: Step, leftoverRuns: LeftoverRuns): z.infer<typeof stepProgress> {
  const leftover = leftoverRuns.get(step) ?? 0;
  const leftoverField = leftover > 0 ? { leftover } : {};
  if (step.job.isEnded) {
    return { done: '0', tasks: [], ...leftoverField };
  }
  const { tasks } = step;
  const crashes = tasks
    .filter(
      ({ phase, crashes: { suspicion } }) =>
        phase !== TaskPhase.Done && suspicion !== CrashSuspicion.None,
    )
    .map(createTaskCrashes);
  return {
    done: formatDone(tasks),
    tasks: tasks
      .filter(
        ({ phase, failedRuns, checkpoint }) =>
          phase !== TaskPhase.Done && (failedRuns.length > 0 || checkpoint !== ''),
      )
      .map(({ index, lastRun, failedRuns, checkpoint }) => [
        index,
        lastRun,
        [...failedRuns],
        step.spec.isGang ? step.gangCheckpoint : checkpoint,
      ]),
    ...(crashes.length > 0 ? { crashes } : {}),
    ...leftoverField,
  };
}

/** Returns true for a step whose progress differs from that of one that has not begun. */
function hasDetail({ done, tasks, crashes, leftover }: z.infer<typeof stepProgress>): boolean {
  return done !== '0' || tasks.length > 0 || crashes !== undefined || leftover !== undefined;
}

/** Creates the fields for the occurrences that are done. */
function createDoneOccurrences({
  doneOccurrences,
}: Job): Pick<JobProgress, 'doneOccurrences' | 'doneRanges'> {
  return doneOccurrences.size <= MAX_LISTED_OCCURRENCES
    ? { doneOccurrences: [...doneOccurrences.list()] }
    : {
        doneOccurrences: [],
        doneRanges: doneOccurrences.listRanges().map(([first, last]) => [first, last]),
      };
}

function buildJobProgress(job: Job, leftoverRuns: LeftoverRuns): JobProgress {
  const hasLeftover = (step: Step): boolean => (leftoverRuns.get(step) ?? 0) > 0;
  return {
    state: job.state,
    ...createDoneOccurrences(job),
    occurrences: [...job.occurrences]
      .filter(
        ([occurrence, steps]) =>
          !(job.isEnded || job.doneOccurrences.has(occurrence)) || steps.some(hasLeftover),
      )
      .map(([occurrence, steps]): JobProgress['occurrences'][number] => [
        occurrence,
        steps.map((step) => createStepProgress(step, leftoverRuns)),
      ])
      .filter(([, steps]) => steps.some(hasDetail)),
  };
}

/** The row of a job's progress, and its length in bytes. */
export type ProgressRow = { readonly progress: JobProgress; readonly bytes: number };

function measureRow(progress: JobProgress): ProgressRow {
  return { progress, bytes: Buffer.byteLength(JSON.stringify(progress)) };
}

/** Leaves out the checkpoints, and the tasks with fewer failed runs than a number. */
function omitTasks(progress: JobProgress, minFailedRuns: number): JobProgress {
  return {
    ...progress,
    isShortened: true,
    occurrences: progress.occurrences.map(([occurrence, steps]) => [
      occurrence,
      steps.map((step) => ({
        ...step,
        tasks: step.tasks
          .filter(([, , failedRuns]) => failedRuns.length >= minFailedRuns)
          .map(([index, lastRun, failedRuns]) => [index, lastRun, failedRuns, '']),
      })),
    ]),
  };
}

/**
 * Shortens a row that the store would refuse, and with it all that is stored beside it. The tasks that are next
 * to the limit of failed runs are left out last; the others are tried more often if the owner is lost.
 */
function shortenRow(row: ProgressRow): ProgressRow {
  const { progress } = row;
  let shortened = row;
  const failedCounts = progress.occurrences.flatMap(([, steps]) =>
    steps.flatMap(({ tasks }) => tasks.map(([, , failedRuns]) => failedRuns.length)),
  );
  const maxCount = failedCounts.reduce((most, count) => Math.max(most, count), 0);
  for (
    let minCount = 1;
    minCount <= maxCount + 1 && shortened.bytes > MAX_PROGRESS_BYTES;
    minCount += 1
  ) {
    shortened = measureRow(omitTasks(progress, minCount));
  }
  return shortened;
}

/**
 * Creates the progress row of a job; occurrences that are done, and all once the job has ended, are stored
 * without detail unless runs of theirs may exist.
 */
export function createProgressRow(job: Job, leftoverRuns: LeftoverRuns): ProgressRow {
  const row = measureRow(buildJobProgress(job, leftoverRuns));
  return row.bytes <= MAX_PROGRESS_BYTES ? row : shortenRow(row);
}

/** Creates that row without its length. */
export function createJobProgress(job: Job, leftoverRuns: LeftoverRuns = new Map()): JobProgress {
  return createProgressRow(job, leftoverRuns).progress;
}

function restoreStepProgress(step: Step, row: z.infer<typeof stepProgress>, nowMs: number): void {
  const restored = step;
  restored.formerLeftoverCount = row.leftover ?? 0;
  step.tasks.filter((_, index) => isInDone(row.done, index)).forEach((task) => task.recordDone());
  row.tasks.forEach(([index, lastRun, failedRuns, checkpoint]) =>
    step.tasks[index]?.restoreProgress(lastRun, failedRuns, checkpoint),
  );
  row.crashes?.forEach(({ index, runs, attributedRuns, starts, refutableRuns = [] }) => {
    const task = step.tasks[index];
    if (task !== undefined) {
      const refutable = refutableRuns.map(({ run, hostId, bornMs }) => ({
        number: run,
        hostId,
        hostBornMs: bornMs,
      }));
      task.crashes.restore({ runs, attributedRuns, refutableRuns: refutable }, nowMs);
      task.storedStarts = starts;
    }
  });
}

/** Restores the progress of a job that was just read from its persisted row. */
export function restoreJobProgress(job: Job, progress: JobProgress, nowMs: number): void {
  progress.doneOccurrences.forEach((occurrence) => job.doneOccurrences.add(occurrence));
  progress.doneRanges?.forEach(([first, last]) => job.doneOccurrences.addRange(first, last));
  progress.occurrences.forEach(([occurrence, stepRows]) => {
    job.getOccurrence(occurrence).forEach((step, position) => {
      const row = stepRows[position];
      if (row !== undefined) {
        restoreStepProgress(step, row, nowMs);
      }
    });
  });
}
