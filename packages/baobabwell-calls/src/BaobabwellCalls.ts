import type { Outcome, PriorityClass } from '@baobabwell/model';
import type { WorkerAnswer } from '@baobabwell/workers';

/** Why a call ended as it did. */
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
  /** The same work failed on several workers a short time ago. */
  WorkParked = 'work-parked',
  /** The claim of an idempotent call could not be written. */
  StoreUnavailable = 'store-unavailable',
  /** The idempotency key was used before for another request. */
  IdempotencyKeyReused = 'idempotency-key-reused',
  /** The idempotency key belongs to another team. */
  IdempotencyKeyForeign = 'idempotency-key-foreign',
  /** An earlier request with the same idempotency key has not ended yet. */
  InProgress = 'in-progress',
  /** The entry that ran an earlier request with the same idempotency key is gone. */
  OwnerLost = 'owner-lost',
  BadRequest = 'bad-request',
  NotFound = 'not-found',
  BodyTooLarge = 'body-too-large',
  InternalError = 'internal-error',
}

/** A call as it was received. */
export type CallRequest = {
  readonly id: string;
  readonly queue: string;
  /** The secret that came with the call, or `null`. */
  readonly secret: string | null;
  /** Team whose work was accepted before; its key was checked then. */
  readonly acceptedTeam?: string;
  readonly priority: PriorityClass;
  /** Time that the caller allows, or `null` for the queue's own. */
  readonly timeoutMs: number | null;
  /** Whether the work may run more than once. */
  readonly isRepeatable: boolean;
  /** Names the call across repeats, or `null`. */
  readonly idempotencyKey: string | null;
  readonly contentType: string;
  readonly body: Uint8Array;
};

/** The answer that a caller is given. */
export type CallAnswer = Omit<WorkerAnswer, 'taskId'>;

/** How a call ended. */
export type CallResult = {
  readonly outcome: Outcome;
  readonly reason: CallReason;
  /** Whether the caller may send the call again without the work running twice. */
  readonly isRepeatSafe: boolean;
  /** When to come back, or `null` where coming back does not help. */
  readonly retryAfterMs: number | null;
  /** The worker's answer, when there is one. */
  readonly answer: CallAnswer | null;
};

/** A call that runs or waits now, as operators see it. */
export type ActiveCall = {
  readonly id: string;
  readonly queue: string;
  readonly team: string;
  readonly pool: string;
  /** The host on which it runs, or `null` while it waits. */
  readonly host: string | null;
  /** Wall-clock milliseconds at which it was received. */
  readonly since: number;
};
