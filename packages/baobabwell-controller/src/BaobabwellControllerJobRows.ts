import type { TermContext } from './BaobabwellControllerContext';
import type { JobRecord } from '@baobabwell/jobs';
import type { ChangePage, JsonValue, Row } from '@baobabwell/platform';

import { CANCELLED_SUFFIX, JOBS_TABLE } from '@baobabwell/ingress';
import { parseJobProgress } from '@baobabwell/jobs';

import {
  ENDED_JOB_RETENTION_MS,
  MAX_UNSEEN_AGE_MS,
  PRUNE_INTERVAL_MS,
} from './BaobabwellControllerConstants';
import { parseJobRecord } from './BaobabwellControllerRows';

/** The cancellation of a job that is not stored yet. */
type EarlyCancellation = { readonly value: JsonValue; readonly receivedAtMs: number };

/** Applies the stored rows of jobs, of their progress and of their cancellations to the registry. */
export class JobRows {
  readonly #context: TermContext;

  #isLoaded = false;

  /** Cancellations of jobs that are not stored yet: a transaction may be carried out late. */
  readonly #earlyCancellations = new Map<string, EarlyCancellation>();

  constructor(context: TermContext) {
    this.#context = context;
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

  applyProgress({ key, value, version }: Row): void {
    const { jobRegistry, logger, clock } = this.#context;
    const job = jobRegistry.findJob(key);
    const progress = value === null ? null : parseJobProgress(value);
    if (job === null || progress === null) {
      logger.recordWarning('progress-row-ignored', { key });
      return;
    }
    jobRegistry.restoreProgress(job, progress, version, clock.getNow());
  }

  /** Applies the cancellations among rows that were read before the progress of their jobs. */
  applyCancellations(pages: readonly (ChangePage | null)[]): void {
    this.#isLoaded = true;
    pages.forEach((page) =>
      page?.rows
        .filter(({ key }) => key.endsWith(CANCELLED_SUFFIX))
        .forEach((row) => this.apply(row)),
    );
  }

  /**
   * Returns the rows that were not applied, of those that a second read showed. The version that the watch
   * had reached does not tell: an answer without rows may name one whose changes it does not show.
   */
  filterUnseen(rows: readonly Row[], watchedVersion: number): readonly Row[] {
    const unseen = rows.filter((row) => row.version > watchedVersion || this.#isUnseen(row));
    this.#context.logger.recordInfo('store-reread', {
      table: JOBS_TABLE,
      version: watchedVersion,
      rows: rows.length,
      unseen: unseen.filter(({ version }) => version <= watchedVersion).length,
    });
    return unseen;
  }

  /** Removes from memory what callers no longer ask for, until the term ends. */
  async runPruning(): Promise<void> {
    const { clock, signal } = this.#context;
    while (!signal.aborted) {
      await clock.wait(PRUNE_INTERVAL_MS, signal);
      this.#prune();
    }
  }

  #prune(): void {
    const { jobRegistry, clock } = this.#context;
    const nowMs = clock.getNow();
    [...jobRegistry.listJobs()]
      .filter(({ endedAtMs }) => endedAtMs !== null && nowMs - endedAtMs > ENDED_JOB_RETENTION_MS)
      .forEach((job) => jobRegistry.removeJob(job));
    this.#earlyCancellations.forEach(({ receivedAtMs }, jobId) => {
      if (nowMs - receivedAtMs > ENDED_JOB_RETENTION_MS) {
        this.#earlyCancellations.delete(jobId);
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
