import type { Outcome, PriorityClass } from '@baobabwell/model';
import type { WorkerAnswer } from '@baobabwell/workers';

/** Reason for the outcome of a call. */
export enum CallReason {
  Answered = 'answered',
  UnknownQueue = 'unknown-queue',
  KeyMissing = 'key-missing',
  KeyRefused = 'key-refused',
  TeamNotAllowed = 'team-not-allowed',
  TargetLeaving = 'target-leaving',
  ViewStale = 'view-stale',
  QueueFull = 'queue-full',
  Deadline = 'deadline',
  Cancelled = 'cancelled',
  NoHost = 'no-host',
  EntryStopping = 'entry-stopping',
  WorkFailed = 'work-failed',
  AnswerLost = 'answer-lost',
  WorkerRejected = 'worker-rejected',
  WorkerUnreachable = 'worker-unreachable',
  /** The same work failed on several workers recently. */
  WorkParked = 'work-parked',
  /** The store could not write the claim on the idempotency key or return its stored result. */
  StoreUnavailable = 'store-unavailable',
  /** The idempotency key was already used for a different request. */
  IdempotencyKeyReused = 'idempotency-key-reused',
  /** The idempotency key belongs to another team. */
  IdempotencyKeyForeign = 'idempotency-key-foreign',
  /** An earlier request with the same idempotency key has not ended yet. */
  InProgress = 'in-progress',
  /** The entry that ran an earlier request with the same idempotency key was lost. */
  OwnerLost = 'owner-lost',
  BadRequest = 'bad-request',
  NotFound = 'not-found',
  BodyTooLarge = 'body-too-large',
  InternalError = 'internal-error',
}

/** A call as received from a caller. */
export type CallRequest = {
  readonly id: string;
  readonly queue: string;
  /** Secret sent with the call, or `null`. */
  readonly secret: string | null;
  /** Team of work that was accepted earlier; its key was checked at that time. */
  readonly acceptedTeam?: string;
  readonly priority: PriorityClass;
  /** Timeout requested by the caller, or `null` for the default of the queue. */
  readonly timeoutMs: number | null;
  /** Whether the work may run more than once. */
  readonly isRepeatable: boolean;
  /** Identifies the call across repeated requests; `null` without a key. */
  readonly idempotencyKey: string | null;
  readonly contentType: string;
  readonly body: Uint8Array;
};

/** The worker's answer as returned to the caller. */
export type CallAnswer = Omit<WorkerAnswer, 'taskId'>;

/** Result of a call. */
export type CallResult = {
  readonly outcome: Outcome;
  readonly reason: CallReason;
  /** Whether the caller may repeat the call without the risk that the work runs twice. */
  readonly isRepeatSafe: boolean;
  /** Delay before a retry, or `null` when a retry would not help. */
  readonly retryAfterMs: number | null;
  /** The worker's answer, or `null` without one. */
  readonly answer: CallAnswer | null;
};

/** A waiting or running call, as shown to operators. */
export type ActiveCall = {
  readonly id: string;
  readonly queue: string;
  readonly team: string;
  readonly pool: string;
  /** The host on which it runs, or `null` while it waits. */
  readonly host: string | null;
  /** Wall-clock time of receipt, in milliseconds. */
  readonly since: number;
};
