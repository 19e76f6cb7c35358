import type { Answer } from './BaobabwellIngressModel';
import type { OpenCall } from './BaobabwellIngressOpenCall';
import type { OwnerClient } from './BaobabwellIngressOwner';
import type { RecentRefusal } from './BaobabwellIngressRefusalMemory';
import type { QueueSettings } from '@baobabwell/fleet';
import type { JobRecord, JobSpec } from '@baobabwell/jobs';
import type { Logger } from '@baobabwell/logging';
import type { JsonValue, WatchableTableService } from '@baobabwell/platform';
import type { Clock, Deadline } from '@baobabwell/utils';

import { estimateJobBytes } from '@baobabwell/jobs';
import { TableErrorKind } from '@baobabwell/platform';

import { findJobRows } from './BaobabwellIngressJobRows';
import { JobStateReader } from './BaobabwellIngressJobStateReader';
import { AnswerKind } from './BaobabwellIngressModel';
import { computeDemand, RefusalMemory } from './BaobabwellIngressRefusalMemory';
import { StoreSilence } from './BaobabwellIngressStoreSilence';
import { CANCELLED_SUFFIX, getJobPartition, JOBS_TABLE } from './BaobabwellIngressTables';
import { WaitingCounts } from './BaobabwellIngressWaitingCounts';

/** Retry delay sent to callers while the store is unavailable, in ms; such outages are short. */
const STORE_RETRY_AFTER_MS = 1_000;

/** Retry delay sent to callers while no owner answers, in ms; a takeover takes about as long. */
const OWNER_RETRY_AFTER_MS = 3_000;

/** Retry delay sent to callers whose job is larger than a row, in ms. */
const TOO_LARGE_RETRY_AFTER_MS = 60_000;

/** Number of reads that try to resolve a commit with an unknown outcome. */
const RESOLVE_ATTEMPTS = 3;

/** Interval between these reads, in ms. */
const RESOLVE_INTERVAL_MS = 150;

/** Number of transactions that try to store a cancellation. */
const MAX_CANCEL_ATTEMPTS = 3;

/** Time for which a job with an unknown outcome is remembered, in ms; callers repeat calls sooner. */
const UNCLEAR_MS = 30_000;

/**
 * Submits, reads, cancels and counts jobs for the callers of this process. Calls to the owner and the store
 * end with the time for which the caller waits.
 */
export class JobSubmissionService {
  readonly #store: WatchableTableService;

  readonly #owner: OwnerClient;

  readonly #clock: Clock;

  readonly #logger: Logger;

  readonly #refusals = new RefusalMemory();

  readonly #silence = new StoreSilence();

  readonly #states: JobStateReader;

  readonly #waitingCounts: WaitingCounts;

  readonly #maxRowBytes: number;

  readonly #getMaxUnofferedBytes: () => number;

  /** Memory of the jobs that were stored since the owner last answered an offer, in bytes. */
  #unofferedBytes = 0;

  /** Monotonic time at which a job was last sent to the store, unless it refused the job, in ms. */
  readonly #unclearAtMs = new Map<string, number>();

  constructor(options: {
    readonly store: WatchableTableService;
    readonly owner: OwnerClient;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Longest value of a row that the store takes, in bytes. */
    readonly maxRowBytes: number;
    /**
     * Returns the memory of the jobs that this process may store while no owner answers offers, in bytes.
     */
    readonly getMaxUnofferedBytes: () => number;
  }) {
    this.#store = options.store;
    this.#owner = options.owner;
    this.#clock = options.clock;
    this.#logger = options.logger;
    this.#maxRowBytes = options.maxRowBytes;
    this.#getMaxUnofferedBytes = options.getMaxUnofferedBytes;
    this.#states = new JobStateReader(options);
    this.#waitingCounts = new WaitingCounts(options.owner, options.clock);
  }

  /**
   * Stores a job unless the owner refuses it. A job that an earlier call may have stored is not reported as
   * rejected.
   */
  async submit(
    queue: QueueSettings,
    organisation: string | null,
    jobId: string,
    spec: JobSpec,
    call: OpenCall,
  ): Promise<Answer> {
    const wasUnclear = this.#unclearAtMs.has(jobId);
    if (wasUnclear) {
      call.recordEarlierChange();
    }
    const answer = await this.#submitOnce(queue, organisation, jobId, spec, call);
    const isRejected = answer.kind === AnswerKind.Refused || answer.kind === AnswerKind.Unavailable;
    return isRejected && wasUnclear
      ? { kind: AnswerKind.UnknownOutcome, reason: answer.reason }
      : answer;
  }

  async #submitOnce(
    queue: QueueSettings,
    organisation: string | null,
    jobId: string,
    spec: JobSpec,
    call: OpenCall,
  ): Promise<Answer> {
    const { deadline } = call;
    const acceptedAtMs = this.#clock.getWallTime();
    const record: JobRecord = {
      id: jobId,
      queue: queue.name,
      route: queue,
      organisation,
      acceptedAtMs,
      spec,
    };
    const rowBytes = Buffer.byteLength(JSON.stringify(record));
    if (rowBytes > this.#maxRowBytes) {
      const reason = `the job takes ${rowBytes} of ${this.#maxRowBytes} bytes; it never fits`;
      return { kind: AnswerKind.Refused, reason, retryAfterMs: TOO_LARGE_RETRY_AFTER_MS };
    }
    const demand = computeDemand(record, queue);
    const known = this.#refusals.find(demand, this.#clock.getNow(), true);
    if (known !== null) {
      return this.#refuseKnown(jobId, known, deadline);
    }
    const offer = await this.#owner.offer(record, deadline);
    this.#refusals.add(offer?.refusals ?? [], this.#clock.getNow());
    if (offer !== null && !offer.isWanted) {
      const { reason, retryAfterMs } = offer;
      return { kind: AnswerKind.Refused, reason, retryAfterMs };
    }
    if (offer !== null) {
      this.#unofferedBytes = 0;
      return this.#storeJob(record, call);
    }
    const earlier = this.#refusals.find(demand, this.#clock.getNow(), false);
    return earlier === null
      ? this.#storeUnoffered(record, call)
      : this.#refuseKnown(jobId, earlier, deadline);
  }

  /** Stores a job that no owner admitted, unless the next owner might lack memory for it. */
  async #storeUnoffered(record: JobRecord, call: OpenCall): Promise<Answer> {
    const bytes = estimateJobBytes(record.spec);
    if (this.#unofferedBytes + bytes > this.#getMaxUnofferedBytes()) {
      const known = { retryAfterMs: OWNER_RETRY_AFTER_MS, kind: AnswerKind.Unavailable } as const;
      const reason = 'no owner answers, and too much was accepted without one';
      return this.#refuseUnlessStored(record.id, { ...known, reason }, call.deadline);
    }
    this.#unofferedBytes += bytes;
    return this.#storeJob(record, call);
  }

  /** Refuses a job as the owner refused a like one, unless an earlier call stored it. */
  async #refuseKnown(
    jobId: string,
    { retryAfterMs }: RecentRefusal,
    deadline: Deadline,
  ): Promise<Answer> {
    const reason = 'like jobs were refused a moment ago';
    return this.#refuseUnlessStored(
      jobId,
      { kind: AnswerKind.Refused, reason, retryAfterMs },
      deadline,
    );
  }

  async #refuseUnlessStored(jobId: string, refusal: Answer, deadline: Deadline): Promise<Answer> {
    const rows = await findJobRows(this.#store, jobId, deadline);
    if (rows === null) {
      return this.#createUnavailableAnswer('submit');
    }
    return rows.isStored ? { kind: AnswerKind.Accepted } : refusal;
  }

  async #storeJob(record: JobRecord, call: OpenCall): Promise<Answer> {
    const { id: jobId } = record;
    const { deadline } = call;
    if (!this.#silence.canSubmit(this.#clock.getNow())) {
      const reason = 'the store did not answer the last submissions';
      return { kind: AnswerKind.Unavailable, reason, retryAfterMs: STORE_RETRY_AFTER_MS };
    }
    if (!call.startChange()) {
      this.#silence.recordUnused();
      return this.#createUnavailableAnswer('submit');
    }
    // The caller may be answered before the outcome is known.
    const wasUnclear = this.#unclearAtMs.has(jobId);
    this.#recordUnclear(jobId);
    const part = getJobPartition(jobId);
    const transaction = {
      conditions: [{ table: JOBS_TABLE, part, key: jobId, version: 0 }],
      writes: [{ table: JOBS_TABLE, part, key: jobId, value: record as unknown as JsonValue }],
    };
    const reply = await this.#store.commit(transaction, { deadline });
    const isAnswered = reply.ok || reply.error.kind === TableErrorKind.Conflict;
    if (isAnswered) {
      this.#silence.record(true, this.#clock.getNow());
      return { kind: AnswerKind.Accepted };
    }
    if (!reply.error.mayHaveCommitted) {
      this.#recordSilence(deadline);
      if (!wasUnclear) {
        this.#unclearAtMs.delete(jobId);
      }
      return {
        kind: AnswerKind.Unavailable,
        reason: `store: ${reply.error.cause}`,
        retryAfterMs: STORE_RETRY_AFTER_MS,
      };
    }
    return this.#resolveOutcome(jobId, reply.error.cause, deadline);
  }

  /**
   * Refuses a submission whose body is too large. An earlier one with the same id may have been accepted, which
   * is not denied.
   */
  async refuseTooLarge(jobId: string | null, deadline: Deadline): Promise<Answer> {
    const answer: Answer = { kind: AnswerKind.TooLarge, reason: 'the body is too large' };
    if (jobId === null) {
      return answer;
    }
    const rows = await findJobRows(this.#store, jobId, deadline);
    if (rows?.isStored === true) {
      return { kind: AnswerKind.Accepted };
    }
    if (rows === null || this.#unclearAtMs.has(jobId)) {
      const reason =
        'the body is too large, and it is not known whether the job was accepted before';
      return { kind: AnswerKind.UnknownOutcome, reason };
    }
    return answer;
  }

  /** Returns the state of a job. */
  async readState(jobId: string, deadline: Deadline): Promise<Answer> {
    return (await this.#states.read(jobId, deadline)) ?? this.#createUnavailableAnswer('state');
  }

  /**
   * Cancels a job; a cancellation cannot be undone. It is stored for an unknown job too, since the
   * transaction that stores the job may be carried out later.
   */
  async cancel(jobId: string, call: OpenCall): Promise<Answer> {
    const { deadline } = call;
    const rows = await findJobRows(this.#store, jobId, deadline);
    if (rows === null) {
      return this.#createUnavailableAnswer('cancel');
    }
    const { isStored, isCancelled } = rows;
    const answer: Answer = { kind: isStored ? AnswerKind.Cancelled : AnswerKind.UnknownJob };
    if (isCancelled) {
      return answer;
    }
    if (!call.startChange()) {
      return this.#createUnavailableAnswer('cancel');
    }
    const reason = 'the cancellation may not have been stored';
    return (await this.#storeCancellation(jobId, deadline))
      ? answer
      : { kind: AnswerKind.UnknownOutcome, reason };
  }

  /** Stores that a job is cancelled, which may be stored twice; returns false without an answer in time. */
  async #storeCancellation(jobId: string, deadline: Deadline): Promise<boolean> {
    const part = getJobPartition(jobId);
    const key = `${jobId}${CANCELLED_SUFFIX}`;
    const transaction = {
      conditions: [],
      writes: [{ table: JOBS_TABLE, part, key, value: this.#clock.getWallTime() }],
    };
    for (let attempt = 0; attempt < MAX_CANCEL_ATTEMPTS && !deadline.hasPassed(); attempt += 1) {
      const reply = await this.#store.commit(transaction, { deadline });
      if (reply.ok) {
        return true;
      }
      this.#logger.recordWarning('cancellation-not-stored', {
        job: jobId,
        attempt,
        kind: reply.error.kind,
      });
      await this.#clock.wait(deadline.limit(RESOLVE_INTERVAL_MS));
    }
    return false;
  }

  /** Counts the waiting jobs of a queue. */
  async countWaiting(queue: QueueSettings, deadline: Deadline): Promise<Answer> {
    const count = await this.#waitingCounts.count(queue, deadline);
    return count === null
      ? this.#createUnavailableAnswer('count')
      : { kind: AnswerKind.WaitingCount, count };
  }

  /** Reads the store again to find out whether a commit with an unknown outcome stored the job. */
  async #resolveOutcome(jobId: string, cause: string, deadline: Deadline): Promise<Answer> {
    let isAnswered = false;
    for (let attempt = 0; attempt < RESOLVE_ATTEMPTS; attempt += 1) {
      await this.#clock.wait(deadline.limit(RESOLVE_INTERVAL_MS));
      const rows = await findJobRows(this.#store, jobId, deadline);
      isAnswered ||= rows !== null;
      if (rows?.isStored) {
        this.#silence.record(true, this.#clock.getNow());
        this.#logger.recordInfo('submission-settled', { job: jobId, attempt });
        return { kind: AnswerKind.Accepted };
      }
    }
    if (isAnswered) {
      this.#silence.record(true, this.#clock.getNow());
    } else {
      this.#recordSilence(deadline);
    }
    return { kind: AnswerKind.UnknownOutcome, reason: `store: ${cause}` };
  }

  /** Records a submission without an answer, unless its caller left before the store was late. */
  #recordSilence(deadline: Deadline): void {
    if (deadline.hasPassed()) {
      this.#silence.recordUnused();
    } else {
      this.#silence.record(false, this.#clock.getNow());
    }
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
    this.#unclearAtMs.delete(jobId);
    this.#unclearAtMs.set(jobId, nowMs);
  }

  #createUnavailableAnswer(operation: string): Answer {
    return {
      kind: AnswerKind.Unavailable,
      reason: `neither the owner nor the store answers: ${operation}`,
      retryAfterMs: STORE_RETRY_AFTER_MS,
    };
  }
}
