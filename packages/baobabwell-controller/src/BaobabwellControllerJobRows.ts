import type { TermContext } from './BaobabwellControllerContext';
import type { EndedJobs } from './BaobabwellControllerEndedJobs';
import type { RereadLimits, TablePosition, TermTables } from './BaobabwellControllerTermTables';
import type { JobProgress, JobRecord } from '@baobabwell/jobs';
import type { JsonValue, Row } from '@baobabwell/platform';

import {
  CANCELLED_SUFFIX,
  JOBS_TABLE,
  listJobPartitions,
  PROGRESS_TABLE,
} from '@baobabwell/ingress';
import { isEnded, JobState, parseJobProgress } from '@baobabwell/jobs';

import {
  COMPACTION_INTERVAL_MS,
  ENDED_JOB_MARGIN_MS,
  MAX_UNSEEN_AGE_MS,
  MIN_UNTRACKED_AGE_MS,
  PRUNE_INTERVAL_MS,
} from './BaobabwellControllerConstants';
import { recordStoredFailures } from './BaobabwellControllerJobEnds';
import { parseJobRecord } from './BaobabwellControllerRows';
import { findCommonPosition } from './BaobabwellControllerTermTables';

/** The cancellation of a job that is not stored yet. */
type EarlyCancellation = { readonly value: JsonValue; readonly receivedAtMs: number };

/** The row of a job's progress. */
type LoadedProgress = { readonly progress: JobProgress; readonly version: number };

/** States of jobs that have ended; most rows of a large table have one of them. */
const ENDED_STATES: readonly JobState[] = Object.values(JobState).filter(isEnded);

/**
 * Finds the state in the row of a job's progress if the job has ended and no run of it may exist, without
 * parsing the rest.
 */
function findEndedState(value: JsonValue): JobState | null {
  if (typeof value !== 'object' || value === null || !('state' in value)) {
    return null;
  }
  const { state } = value;
  const hasRuns =
    'occurrences' in value && Array.isArray(value.occurrences) && value.occurrences.length > 0;
  return hasRuns ? null : (ENDED_STATES.find((ended) => ended === state) ?? null);
}

function hasEndedWithoutRuns({ state, occurrences }: JobProgress): boolean {
  return isEnded(state) && occurrences.length === 0;
}

function getAcceptedAtMs(value: JsonValue): number | null {
  const isRecord = typeof value === 'object' && value !== null && 'acceptedAtMs' in value;
  return isRecord && typeof value.acceptedAtMs === 'number' ? value.acceptedAtMs : null;
}

/** Applies the stored rows of jobs, of their progress and of their cancellations to the registry. */
export class JobRows {
  readonly #context: TermContext;

  readonly #endedJobs: EndedJobs;

  #isLoaded = false;

  /** Progress of the jobs whose rows are not loaded yet, while the term loads. */
  readonly #loadedProgress = new Map<string, LoadedProgress>();

  /** Versions of these rows of jobs that have ended, by state and job. */
  readonly #loadedEnds = new Map(ENDED_STATES.map((state) => [state, new Map<string, number>()]));

  /** Cancellations of tracked jobs that were read while the term loaded. */
  #loadedCancellations: Row[] = [];

  /** Cancellations of jobs that are not stored yet: a transaction may be carried out late. */
  readonly #earlyCancellations = new Map<string, EarlyCancellation>();

  constructor(context: TermContext, endedJobs: EndedJobs) {
    this.#context = context;
    this.#endedJobs = endedJobs;
  }

  /**
   * Reads the tables at the start of a term. The progress of jobs is read first: a job that ended long ago
   * is not tracked, so that a term needs memory for the others only.
   */
  async load(tables: TermTables, minVersion: number): Promise<TablePosition | null> {
    const progress = tables.readAll(
      [
        {
          table: PROGRESS_TABLE,
          apply: async (rows) => tables.applyInSlices(rows, (row) => this.#loadProgress(row)),
        },
      ],
      minVersion,
    );
    const apply = async (rows: readonly Row[]): Promise<void> => {
      await progress;
      await tables.applyInSlices(rows, (row) => this.#loadJob(row));
    };
    const ranges = listJobPartitions().map((part) => ({ table: JOBS_TABLE, part, apply }));
    const [pages] = await Promise.all([tables.readAll(ranges, minVersion), progress]);
    return findCommonPosition(pages);
  }

  /** Reads the jobs again and applies those that were not applied before. */
  async reread(tables: TermTables, limits: RereadLimits): Promise<TablePosition | null> {
    const { appliedVersion, minVersion, maxAttempts } = limits;
    let rowCount = 0;
    let unseenCount = 0;
    const apply = async (rows: readonly Row[]): Promise<void> => {
      const unseen = this.#filterUnseen(rows, appliedVersion);
      rowCount += rows.length;
      unseenCount += unseen.filter(({ version }) => version <= appliedVersion).length;
      unseen.forEach((row) => this.apply(row));
    };
    const ranges = listJobPartitions().map((part) => ({ table: JOBS_TABLE, part, apply }));
    const pages = await tables.readAll(ranges, minVersion, maxAttempts);
    this.#context.logger.recordInfo('store-reread', {
      table: JOBS_TABLE,
      version: appliedVersion,
      rows: rowCount,
      unseen: unseenCount,
    });
    return findCommonPosition(pages);
  }

  /** Applies the row of a job or of its cancellation. */
  apply({ key, value, version }: Row): void {
    const { jobRegistry, clock, logger, metrics, requestDispatch } = this.#context;
    if (key.endsWith(CANCELLED_SUFFIX)) {
      this.#cancel(key.slice(0, -CANCELLED_SUFFIX.length), value);
      return;
    }
    if (value === null) {
      return;
    }
    const record: JobRecord | null = parseJobRecord(value);
    if (record === null) {
      logger.recordWarning('job-row-ignored', { key });
      return;
    }
    if (jobRegistry.findJob(key) !== null) {
      return;
    }
    jobRegistry.addJob(record, version);
    metrics.jobs.inc({ queue: record.queue, event: 'accepted' });
    logger.recordInfo('job-seen', {
      job: key,
      queue: record.queue,
      organisation: record.organisation,
      version,
      ageMs: Math.round(clock.getWallTime() - record.acceptedAtMs),
    });
    const cancellation = this.#earlyCancellations.get(key);
    if (cancellation !== undefined) {
      this.#earlyCancellations.delete(key);
      this.#cancel(key, cancellation.value);
    }
    requestDispatch();
  }

  /** Takes the row of a job's progress while the term loads, before the row of the job itself. */
  #loadProgress({ key, value, version }: Row): void {
    const endedState = findEndedState(value);
    if (endedState !== null) {
      this.#loadedEnds.get(endedState)?.set(key, version);
      return;
    }
    const progress = value === null ? null : parseJobProgress(value);
    if (progress === null) {
      this.#context.logger.recordWarning('progress-row-ignored', { key });
      return;
    }
    this.#loadedProgress.set(key, { progress, version });
  }

  /**
   * Applies the row of a job or of its cancellation while the term loads. A job that ended long ago is not
   * tracked: its state is read from the store.
   */
  #loadJob(row: Row): void {
    const { jobRegistry, clock } = this.#context;
    const { key } = row;
    if (key.endsWith(CANCELLED_SUFFIX)) {
      const jobId = key.slice(0, -CANCELLED_SUFFIX.length);
      if (jobRegistry.findJob(jobId) !== null) {
        this.#loadedCancellations.push(row);
      } else if (!this.#endedJobs.hasFormer(jobId)) {
        this.apply(row);
      }
      return;
    }
    const loaded = this.#takeProgress(key);
    const acceptedAtMs = getAcceptedAtMs(row.value);
    const isOld =
      acceptedAtMs !== null && clock.getWallTime() - acceptedAtMs > MIN_UNTRACKED_AGE_MS;
    if (
      this.#endedJobs.hasFormer(key) ||
      (loaded !== null && isOld && hasEndedWithoutRuns(loaded.progress))
    ) {
      this.#endedJobs.addFormer(key);
      return;
    }
    this.apply(row);
    const job = jobRegistry.findJob(key);
    if (job !== null && loaded !== null) {
      jobRegistry.restoreProgress(job, loaded.progress, loaded.version, clock.getNow());
      recordStoredFailures(this.#context, job);
    }
  }

  /** Takes the progress of a job that was read before; `null` if there is none. */
  #takeProgress(key: string): LoadedProgress | null {
    const loaded = this.#loadedProgress.get(key);
    if (loaded !== undefined) {
      this.#loadedProgress.delete(key);
      return loaded;
    }
    for (const [state, versions] of this.#loadedEnds) {
      const version = versions.get(key);
      if (version !== undefined) {
        versions.delete(key);
        return { progress: { state, doneOccurrences: [], occurrences: [] }, version };
      }
    }
    return null;
  }

  /** Applies the cancellations that were read while the term loaded, once all jobs are restored. */
  finishLoad(): void {
    this.#isLoaded = true;
    this.#loadedProgress.forEach((_, key) =>
      this.#context.logger.recordWarning('progress-row-ignored', { key }),
    );
    this.#loadedProgress.clear();
    this.#loadedEnds.forEach((versions) => {
      // The rows of these jobs were removed, and then not those of their progress.
      versions.forEach((_, key) => this.#endedJobs.addFormer(key));
      versions.clear();
    });
    this.#loadedCancellations.forEach((row) => this.apply(row));
    this.#loadedCancellations = [];
  }

  /**
   * Returns the rows that were not applied, of those that a second read showed. The version that the watch
   * had reached does not tell: an answer without rows may name one whose changes it does not show.
   */
  #filterUnseen(rows: readonly Row[], watchedVersion: number): readonly Row[] {
    return rows.filter((row) => row.version > watchedVersion || this.#isUnseen(row));
  }

  /** Removes from memory what callers no longer ask for, until the term ends. */
  async runPruning(): Promise<void> {
    const { clock, signal, jobRegistry } = this.#context;
    let prunedAtMs = clock.getNow();
    while (!signal.aborted) {
      await clock.wait(COMPACTION_INTERVAL_MS, signal);
      jobRegistry.compactEndedJobs();
      if (clock.getNow() - prunedAtMs >= PRUNE_INTERVAL_MS) {
        prunedAtMs = clock.getNow();
        this.#prune();
      }
    }
  }

  #prune(): void {
    const { jobRegistry, clock, bounds } = this.#context;
    const endedBeforeMs = clock.getNow() - bounds.endedJobMs - ENDED_JOB_MARGIN_MS;
    [...jobRegistry.listJobs()]
      .filter(({ endedAtMs }) => endedAtMs !== null && endedAtMs < endedBeforeMs)
      .filter(({ storedState }) => isEnded(storedState))
      .forEach((job) => {
        jobRegistry.removeJob(job);
        this.#endedJobs.add(job.record.id);
      });
    this.#earlyCancellations.forEach(({ receivedAtMs }, jobId) => {
      if (receivedAtMs < endedBeforeMs) {
        this.#earlyCancellations.delete(jobId);
        this.#endedJobs.add(jobId);
      }
    });
  }

  /** Returns true for the row of a job that is not tracked, or of a cancellation that was not applied. */
  #isUnseen({ key, value }: Row): boolean {
    const { jobRegistry, clock } = this.#context;
    if (key.endsWith(CANCELLED_SUFFIX)) {
      return jobRegistry.findJob(key.slice(0, -CANCELLED_SUFFIX.length))?.isEnded !== true;
    }
    const record = value === null ? null : parseJobRecord(value);
    // Jobs that ended and were removed from memory are older, by clocks that differ by up to two minutes.
    return (
      record !== null &&
      jobRegistry.findJob(key) === null &&
      clock.getWallTime() - record.acceptedAtMs < MAX_UNSEEN_AGE_MS
    );
  }

  /** @param cancelledAtMs wall-clock time at which the cancellation was requested, in ms, as stored. */
  #cancel(jobId: string, cancelledAtMs: JsonValue): void {
    const { jobRegistry, clock, logger, metrics, stopRun, requestCommit } = this.#context;
    const job = jobRegistry.findJob(jobId);
    if (job === null) {
      this.#earlyCancellations.set(jobId, { value: cancelledAtMs, receivedAtMs: clock.getNow() });
      return;
    }
    if (!this.#isLoaded || job.isEnded) {
      return;
    }
    const runs = jobRegistry.cancelJob(job, clock.getNow());
    metrics.jobs.inc({ queue: job.record.queue, event: 'cancelled' });
    logger.recordInfo('job-cancelled', {
      job: jobId,
      runs: runs.length,
      ageMs:
        typeof cancelledAtMs === 'number' ? Math.round(clock.getWallTime() - cancelledAtMs) : null,
    });
    runs.forEach((run) => stopRun(run, 'the job was cancelled'));
    requestCommit();
  }
}
