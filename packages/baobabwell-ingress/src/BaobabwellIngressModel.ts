import type { QueueSettings } from '@baobabwell/fleet';
import type { JobSpec, JobState } from '@baobabwell/jobs';

/** A call before it is decoded. */
export type RawCall = {
  readonly method: string;
  readonly httpHost: string;
  readonly path: string;
  /** API key sent by the caller; `null` when there is none. */
  readonly key: string | null;
  /** Request id sent by the caller; `null` when there is none. */
  readonly requestId: string | null;
  /** Time for which the caller waits for the answer, in ms; `null` when the caller sent none. */
  readonly waitMs: number | null;
  /** The body; empty for a call that has none, or one that is too large. */
  readonly body: Buffer;
  /** True if the body is larger than the configuration allows. */
  readonly isTooLarge: boolean;
};

/** Kind of a call to a queue. */
export enum ClientRequestKind {
  Submit = 'submit',
  ReadState = 'read-state',
  Cancel = 'cancel',
  CountWaiting = 'count-waiting',
  /** The call cannot be decoded. */
  Invalid = 'invalid',
}

/** A decoded call to a queue. */
export type ClientRequest =
  | {
      readonly kind: ClientRequestKind.Submit;
      readonly jobId: string;
      readonly spec: JobSpec;
    }
  | { readonly kind: ClientRequestKind.ReadState; readonly jobId: string }
  | { readonly kind: ClientRequestKind.Cancel; readonly jobId: string }
  | { readonly kind: ClientRequestKind.CountWaiting }
  | { readonly kind: ClientRequestKind.Invalid; readonly problems: readonly string[] };

/** Outcome of a call. */
export enum AnswerKind {
  Accepted = 'accepted',
  Cancelled = 'cancelled',
  State = 'state',
  WaitingCount = 'waiting',
  /** Not accepted and never run; the caller may retry after a delay. */
  Refused = 'refused',
  /** Not accepted and never run, because this process cannot serve calls now. */
  Unavailable = 'unavailable',
  /** The job may or may not have been accepted; repeating the same call resolves it. */
  UnknownOutcome = 'unclear',
  UnknownJob = 'unknown-job',
  UnknownQueue = 'unknown-queue',
  UnknownKey = 'unknown-key',
  Invalid = 'invalid',
  /** The body is larger than the configuration allows; nothing was done. */
  TooLarge = 'too-large',
}

/** Answer to a call, with the reason that is logged. */
export type Answer =
  | { readonly kind: AnswerKind.State; readonly state: JobState }
  | { readonly kind: AnswerKind.WaitingCount; readonly count: number }
  | {
      readonly kind: AnswerKind.Refused | AnswerKind.Unavailable;
      readonly reason: string;
      readonly retryAfterMs: number;
    }
  | { readonly kind: AnswerKind.Invalid; readonly problems: readonly string[] }
  | { readonly kind: AnswerKind.UnknownOutcome | AnswerKind.TooLarge; readonly reason: string }
  | {
      readonly kind:
        | AnswerKind.Accepted
        | AnswerKind.Cancelled
        | AnswerKind.UnknownJob
        | AnswerKind.UnknownQueue
        | AnswerKind.UnknownKey;
    };

/** HTTP response that carries an answer. */
export type WireAnswer = {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: unknown;
};

/** Wire format of calls and answers. */
export abstract class ClientProtocol {
  /** Path of the platform's readiness probe. */
  abstract readonly readyPath: string;

  /** Finds the key in the headers of a call. */
  abstract findKey(headers: Readonly<Record<string, unknown>>): string | null;

  /** Finds the request id in the headers of a call. */
  abstract findRequestId(headers: Readonly<Record<string, unknown>>): string | null;

  /** Finds in the headers of a call how long its caller waits for the answer, in ms. */
  abstract findWaitMs(headers: Readonly<Record<string, unknown>>): number | null;

  /** Finds the id of the job that a call is about; `remainingPath` is the path after the queue's prefix. */
  abstract findJobId(remainingPath: string): string | null;

  /** Parses a call to a queue; `remainingPath` is the path after the queue's prefix. */
  abstract parseRequest(call: RawCall, queue: QueueSettings, remainingPath: string): ClientRequest;

  abstract formatAnswer(answer: Answer): WireAnswer;
}
