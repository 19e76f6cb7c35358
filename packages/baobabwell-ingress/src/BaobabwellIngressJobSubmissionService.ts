import type { Answer } from './BaobabwellIngressModel';
import type { OwnerClient } from './BaobabwellIngressOwner';
import type { QueueSettings } from '@baobabwell/fleet';
import type { JobRecord, JobSpec } from '@baobabwell/jobs';
import type { Logger } from '@baobabwell/logging';
import type { JsonValue, WatchableTableService } from '@baobabwell/platform';
import type { Clock } from '@baobabwell/utils';

import { isEnded, JobState, parseJobProgress } from '@baobabwell/jobs';
import { TableErrorKind } from '@baobabwell/platform';

import { AnswerKind } from './BaobabwellIngressModel';
import {
  CANCELLED_SUFFIX,
  getJobPartition,
  JOBS_TABLE,
  PROGRESS_TABLE,
} from './BaobabwellIngressTables';

/** Retry delay sent to callers while the store is unavailable, in ms; such outages are short. */
const STORE_RETRY_AFTER_MS = 1_000;

/** Number of reads that try to resolve a commit with an unknown outcome. */
const RESOLVE_ATTEMPTS = 3;

/** Interval between these reads, in ms. */
const RESOLVE_INTERVAL_MS = 150;

/** Rows of a job that exist in the store. */
type JobRows = { readonly isStored: boolean; readonly isCancelled: boolean };

/** Submits, reads, cancels and counts jobs for the callers of this process. */
export class JobSubmissionService {
  readonly #store: WatchableTableService;

  readonly #owner: OwnerClient;

  readonly #clock: Clock;

  readonly #logger: Logger;

  constructor(options: {
    readonly store: WatchableTableService;
    readonly owner: OwnerClient;
    readonly clock: Clock;
    readonly logger: Logger;
  }) {
    this.#store = options.store;
    this.#owner = options.owner;
    this.#clock = options.clock;
    this.#logger = options.logger;
  }

  /** Stores a job unless the owner refuses it. */
  async submit(
    queue: QueueSettings,
    organisation: string | null,
    jobId: string,
    spec: JobSpec,
  ): Promise<Answer> {
    const acceptedAtMs = this.#clock.getWallTime();
    const record: JobRecord = { id: jobId, queue: queue.name, organisation, acceptedAtMs, spec };
    const offer = await this.#owner.offer(record);
    if (offer !== null && !offer.isWanted) {
      const { reason, retryAfterMs } = offer;
      return { kind: AnswerKind.Refused, reason, retryAfterMs };
    }
    const part = getJobPartition(jobId);
    const reply = await this.#store.commit({
      conditions: [{ table: JOBS_TABLE, part, key: jobId, version: 0 }],
      writes: [{ table: JOBS_TABLE, part, key: jobId, value: record as unknown as JsonValue }],
    });
    if (reply.ok || reply.error.kind === TableErrorKind.Conflict) {
      return { kind: AnswerKind.Accepted };
    }
    if (!reply.error.mayHaveCommitted) {
      return {
        kind: AnswerKind.Unavailable,
        reason: `store: ${reply.error.cause}`,
        retryAfterMs: STORE_RETRY_AFTER_MS,
      };
    }
    return this.#resolveOutcome(jobId, reply.error.cause);
  }

  /** Returns the state of a job from the owner, or from the store if the owner has none. */
  async readState(jobId: string): Promise<Answer> {
    const ownerState = await this.#owner.findState(jobId);
    if (ownerState !== null) {
      return { kind: AnswerKind.State, state: ownerState };
    }
    const rows = await this.#readJobRows(jobId);
    if (rows === null) {
      return this.#createUnavailableAnswer('state');
    }
    return rows.isStored
      ? this.#readStoredState(jobId, rows.isCancelled)
      : { kind: AnswerKind.UnknownJob };
  }

  /**
   * Cancels a job; a cancellation cannot be undone. It is stored for an unknown job too, since the
   * transaction that stores the job may be carried out later.
   */
  async cancel(jobId: string): Promise<Answer> {
    const rows = await this.#readJobRows(jobId);
    if (rows === null) {
      return this.#createUnavailableAnswer('cancel');
    }
    const { isStored, isCancelled } = rows;
    const answer: Answer = { kind: isStored ? AnswerKind.Cancelled : AnswerKind.UnknownJob };
    if (isCancelled) {
      return answer;
    }
    const part = getJobPartition(jobId);
    const key = `${jobId}${CANCELLED_SUFFIX}`;
    const reply = await this.#store.commit({
      conditions: [],
      writes: [{ table: JOBS_TABLE, part, key, value: this.#clock.getWallTime() }],
    });
    if (reply.ok) {
      return answer;
    }
    return { kind: AnswerKind.UnknownOutcome, reason: 'the cancellation may not have been stored' };
  }

  /** Counts the waiting jobs of a queue. */
  async countWaiting(queue: string): Promise<Answer> {
    const count = await this.#owner.countWaiting(queue);
    return count === null
      ? this.#createUnavailableAnswer('count')
      : { kind: AnswerKind.WaitingCount, count };
  }

  async #readStoredState(jobId: string, isCancelled: boolean): Promise<Answer> {
    const read = await this.#store.read(PROGRESS_TABLE, jobId);
    if (!read.ok) {
      return this.#createUnavailableAnswer('state');
    }
    const progress = read.value === null ? null : parseJobProgress(read.value.value);
    const state = progress?.state ?? JobState.Queued;
    const hasEnded = isEnded(state);
    return {
      kind: AnswerKind.State,
      state: isCancelled && !hasEnded ? JobState.Cancelled : state,
    };
  }

  /** Reads the store again to find out whether a commit with an unknown outcome stored the job. */
  async #resolveOutcome(jobId: string, cause: string): Promise<Answer> {
    for (let attempt = 0; attempt < RESOLVE_ATTEMPTS; attempt += 1) {
      await this.#clock.wait(RESOLVE_INTERVAL_MS);
      const rows = await this.#readJobRows(jobId);
      if (rows?.isStored) {
        this.#logger.recordInfo('submission-settled', { job: jobId, attempt });
        return { kind: AnswerKind.Accepted };
      }
    }
    return { kind: AnswerKind.UnknownOutcome, reason: `store: ${cause}` };
  }

  /** Reads which rows of a job exist; returns `null` when the store does not answer. */
  async #readJobRows(jobId: string): Promise<JobRows | null> {
    const part = getJobPartition(jobId);
    const page = await this.#store.list({ table: JOBS_TABLE, part, from: jobId, to: `${jobId}~` });
    if (!page.ok) {
      return null;
    }
    const keys = new Set(page.value.rows.map(({ key }) => key));
    return {
      isStored: keys.has(jobId),
      isCancelled: keys.has(`${jobId}${CANCELLED_SUFFIX}`),
    };
  }

  #createUnavailableAnswer(operation: string): Answer {
    return {
      kind: AnswerKind.Unavailable,
      reason: `neither the owner nor the store answers: ${operation}`,
      retryAfterMs: STORE_RETRY_AFTER_MS,
    };
  }
}
