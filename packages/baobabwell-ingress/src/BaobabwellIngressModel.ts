import type { QueueSettings } from '@baobabwell/fleet';
import type { JobSpec, JobState } from '@baobabwell/jobs';

/** A call as it arrived. */
export type RawCall = {
  readonly method: string;
  readonly httpHost: string;
  readonly path: string;
  /** Key shown by the caller; `null` when there is none. */
  readonly key: string | null;
  /** Id that the caller gave the call; `null` when it gave none. */
  readonly requestId: string | null;
  readonly body: Buffer;
};

/** What a caller asks of a queue. */
export enum ClientRequestKind {
  Submit = 'submit',
  ReadState = 'read-state',
  Cancel = 'cancel',
  CountWaiting = 'count-waiting',
  /** The call cannot be understood. */
  Invalid = 'invalid',
}

/** A call to a queue, decoded. */
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
  /** Not accepted and never run; the caller may come back after a pause. */
  Refused = 'refused',
  /** Not accepted and never run: this process cannot serve now. */
  Unavailable = 'unavailable',
  /** The job may or may not have been accepted; the same call settles it. */
  Unclear = 'unclear',
  UnknownJob = 'unknown-job',
  UnknownQueue = 'unknown-queue',
  UnknownKey = 'unknown-key',
  Invalid = 'invalid',
}

/** Answer to a call, with the reason that the log carries. */
export type Answer =
  | { readonly kind: AnswerKind.State; readonly state: JobState }
  | { readonly kind: AnswerKind.WaitingCount; readonly count: number }
  | {
      readonly kind: AnswerKind.Refused | AnswerKind.Unavailable;
      readonly reason: string;
      readonly retryAfterMs: number;
    }
  | { readonly kind: AnswerKind.Invalid; readonly problems: readonly string[] }
  | { readonly kind: AnswerKind.Unclear; readonly reason: string }
  | {
      readonly kind:
        | AnswerKind.Accepted
        | AnswerKind.Cancelled
        | AnswerKind.UnknownJob
        | AnswerKind.UnknownQueue
        | AnswerKind.UnknownKey;
    };

/** An answer as it is sent. */
export type WireAnswer = {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: unknown;
};

/** How calls and answers look on the wire. */
export abstract class ClientProtocol {
  /** Path that the platform asks to learn whether this process takes calls. */
  abstract readonly readyPath: string;

  /** Finds the key in the headers of a call. */
  abstract findKey(headers: Readonly<Record<string, unknown>>): string | null;

  /** Finds the id that the caller gave the call. */
  abstract findRequestId(headers: Readonly<Record<string, unknown>>): string | null;

  /** Parses a call to a queue; `rest` is the path after the queue's prefix. */
  abstract parseRequest(call: RawCall, queue: QueueSettings, rest: string): ClientRequest;

  abstract formatAnswer(answer: Answer): WireAnswer;
}
