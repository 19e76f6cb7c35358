import type { Answer } from './BaobabwellIngressModel';
import type { OwnerClient } from './BaobabwellIngressOwner';
import type { RecentRefusal } from './BaobabwellIngressRefusalMemory';
import type { QueueSettings } from '@baobabwell/fleet';
import type { JobRecord, JobSpec } from '@baobabwell/jobs';
import type { Logger } from '@baobabwell/logging';
import type { JsonValue, WatchableTableService } from '@baobabwell/platform';
import type { Clock } from '@baobabwell/utils';

import { isEnded, JobState, parseJobProgress } from '@baobabwell/jobs';
import { TableErrorKind } from '@baobabwell/platform';

import { AnswerKind } from './BaobabwellIngressModel';
import { computeDemand, RefusalMemory } from './BaobabwellIngressRefusalMemory';
import { StoreSilence } from './BaobabwellIngressStoreSilence';
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

/** Time for which a job with an unknown outcome is remembered, in ms; callers repeat calls sooner. */
const UNCLEAR_MS = 30_000;

/** Rows of a job that exist in the store. */
type JobRows = { readonly isStored: boolean; readonly isCancelled: boolean };

/** Submits, reads, cancels and counts jobs for the callers of this process. */
export class JobSubmissionService {
  readonly #store: WatchableTableService;

  readonly #owner: OwnerClient;

  readonly #clock: Clock;

  readonly #logger: Logger;

  readonly #refusals = new RefusalMemory();

  readonly #silence = new StoreSilence();

  /** Monotonic time at which the outcome of a job's submission was last unknown, in ms. */
  readonly #unclearAtMs = new Map<string, number>();

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
    const demand = computeDemand(record, queue);
    const known = this.#refusals.find(demand, this.#clock.getNow(), true);
    if (known !== null) {
      return this.#refuseKnown(jobId, known);
    }
    const offer = await this.#owner.offer(record);
    this.#refusals.add(offer?.refusals ?? [], this.#clock.getNow());
    if (offer !== null && !offer.isWanted) {
      const { reason, retryAfterMs } = offer;
      return { kind: AnswerKind.Refused, reason, retryAfterMs };
    }
    const earlier =
      offer === null ? this.#refusals.find(demand, this.#clock.getNow(), false) : null;
    return earlier === null ? this.#storeJob(record) : this.#refuseKnown(jobId, earlier);
  }

  /** Refuses a job as the owner refused a like one, unless an earlier call stored it. */
  async #refuseKnown(jobId: string, { retryAfterMs }: RecentRefusal): Promise<Answer> {
    const rows = await this.#readJobRows(jobId);
    if (rows === null) {
      return this.#createUnavailableAnswer('submit');
    }
    return rows.isStored
      ? { kind: AnswerKind.Accepted }
      : { kind: AnswerKind.Refused, reason: 'like jobs were refused a moment ago', retryAfterMs };
  }

  async #storeJob(record: JobRecord): Promise<Answer> {
    const { id: jobId } = record;
    if (!this.#silence.canSubmit(this.#clock.getNow())) {
      const reason = 'the store did not answer the last submissions';
      return this.#unclearAtMs.has(jobId)
        ? { kind: AnswerKind.UnknownOutcome, reason }
        : { kind: AnswerKind.Unavailable, reason, retryAfterMs: STORE_RETRY_AFTER_MS };
    }
    const part = getJobPartition(jobId);
    const reply = await this.#store.commit({
      conditions: [{ table: JOBS_TABLE, part, key: jobId, version: 0 }],
      writes: [{ table: JOBS_TABLE, part, key: jobId, value: record as unknown as JsonValue }],
    });
    const isAnswered = reply.ok || reply.error.kind === TableErrorKind.Conflict;
    if (isAnswered) {
      this.#silence.record(true, this.#clock.getNow());
      return { kind: AnswerKind.Accepted };
    }
    if (!reply.error.mayHaveCommitted) {
      this.#silence.record(false, this.#clock.getNow());
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
    let isAnswered = false;
    for (let attempt = 0; attempt < RESOLVE_ATTEMPTS; attempt += 1) {
      await this.#clock.wait(RESOLVE_INTERVAL_MS);
      const rows = await this.#readJobRows(jobId);
      isAnswered ||= rows !== null;
      if (rows?.isStored) {
        this.#silence.record(true, this.#clock.getNow());
        this.#logger.recordInfo('submission-settled', { job: jobId, attempt });
        return { kind: AnswerKind.Accepted };
      }
    }
    this.#silence.record(isAnswered, this.#clock.getNow());
    this.#recordUnclear(jobId);
    return { kind: AnswerKind.UnknownOutcome, reason: `store: ${cause}` };
  }

  /** Records that a job may be stored although its caller was not told so. */
  #recordUnclear(jobId: string): void {
    const nowMs = this.#clock.getNow();
    for (const [id, atMs] of this.#unclearAtMs) {
      if (nowMs - atMs < UNCLEAR_MS) {
        break;
      }
      this.#unclearAtMs.delete(id);
    }
    this.#unclearAtMs.set(jobId, nowMs);
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
