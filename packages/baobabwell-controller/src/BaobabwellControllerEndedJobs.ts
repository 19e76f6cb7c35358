/**
 * Load pattern: tens of jobs end a second, for years. What callers may no longer ask for is removed at a
 * bounded rate, so that the tables, and with them a takeover, follow the jobs that are alive.
 */
import type { TermContext } from './BaobabwellControllerContext';
import type { RowWrite } from '@baobabwell/platform';

import { CANCELLED_SUFFIX, getJobPartition, JOBS_TABLE, PROGRESS_TABLE } from '@baobabwell/ingress';
import { RetryDelay } from '@baobabwell/utils';

import {
  COMMIT_RETRY_MS,
  MAX_COMMIT_RETRY_MS,
  MAX_REMOVED_JOBS,
  REMOVAL_BACKLOG_INTERVAL_MS,
  REMOVAL_INTERVAL_MS,
} from './BaobabwellControllerConstants';

type EndedJobsContext = Pick<
  TermContext,
  'clock' | 'logger' | 'ownership' | 'signal' | 'store' | 'term'
>;

/** Removes the stored rows of jobs that ended so long ago that callers no longer ask for them. */
export class EndedJobs {
  readonly #context: EndedJobsContext;

  /** Jobs that had ended when the term began, at a time that this owner does not know. */
  readonly #former = new Set<string>();

  /** Monotonic time from which these may be removed, in ms. */
  readonly #formerDueAtMs: number;

  /** Jobs whose rows may be removed now. */
  readonly #due = new Set<string>();

  /** @param retentionMs time for which the rows of an ended job are kept, in ms. */
  constructor(context: EndedJobsContext, retentionMs: number) {
    this.#context = context;
    this.#formerDueAtMs = context.clock.getNow() + retentionMs;
  }

  /** Adds a job that had ended when the term began. */
  addFormer(jobId: string): void {
    this.#former.add(jobId);
  }

  /** Returns true for a job that had ended when the term began and is not tracked. */
  hasFormer(jobId: string): boolean {
    return this.#former.has(jobId);
  }

  countFormer(): number {
    return this.#former.size;
  }

  /** Adds a job whose rows may be removed now. */
  add(jobId: string): void {
    this.#due.add(jobId);
  }

  /** Removes rows until the term ends. */
  async run(): Promise<void> {
    const { clock, signal, ownership } = this.#context;
    const retry = new RetryDelay(COMMIT_RETRY_MS, MAX_COMMIT_RETRY_MS);
    while (!signal.aborted) {
      const hasBacklog = this.#due.size >= MAX_REMOVED_JOBS;
      await clock.wait(hasBacklog ? REMOVAL_BACKLOG_INTERVAL_MS : REMOVAL_INTERVAL_MS, signal);
      if (clock.getNow() >= this.#formerDueAtMs && this.#former.size > 0) {
        this.#former.forEach((id) => this.#due.add(id));
        this.#former.clear();
      }
      if (!signal.aborted && this.#due.size > 0 && ownership.canAct()) {
        const isDone = await this.#removeOnce();
        await clock.wait(isDone ? 0 : retry.advance(), signal);
        if (isDone) {
          retry.reset();
        }
      }
    }
  }

  /**
   * Removes the rows of some jobs of one partition. The end of a job is final, so that a former owner may
   * remove them as well; the row of its progress, which shows the end, goes last.
   */
  async #removeOnce(): Promise<boolean> {
    const { store, ownership, term, logger } = this.#context;
    const [first = ''] = this.#due;
    const part = getJobPartition(first);
    const ids = [...this.#due].filter((id) => getJobPartition(id) === part);
    const removed = ids.slice(0, MAX_REMOVED_JOBS);
    const jobRows = removed.flatMap((id): readonly RowWrite[] => [
      { table: JOBS_TABLE, part, key: id, value: null },
      { table: JOBS_TABLE, part, key: `${id}${CANCELLED_SUFFIX}`, value: null },
    ]);
    const progressRows = removed.map((key) => ({ table: PROGRESS_TABLE, key, value: null }));
    let reply = await store.commit({ conditions: [], writes: jobRows });
    reply = reply.ok ? await ownership.commit(term, [], progressRows) : reply;
    if (!reply.ok) {
      logger.recordWarning('ended-jobs-not-removed', { reason: reply.error.kind });
      return false;
    }
    removed.forEach((id) => this.#due.delete(id));
    logger.recordInfo('ended-jobs-removed', { jobs: removed.length, left: this.#due.size });
    return true;
  }
}
