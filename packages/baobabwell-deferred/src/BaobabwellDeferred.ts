import type { Outcome, PriorityClass } from '@baobabwell/model';

/** Where a piece of deferred work stands. */
export enum WorkState {
  /** Stored; it starts when the window of its queue opens and its turn comes. */
  Waiting = 'waiting',
  /** Claimed by an entry, which may have sent it to a worker. */
  Running = 'running',
  /** Its result is final. */
  Ended = 'ended',
}

/** Why work ended without an answer of its own; other reasons are those of calls. */
export enum WorkReason {
  Cancelled = 'cancelled',
  Deadline = 'deadline',
  OwnerLost = 'owner-lost',
  TooManyAttempts = 'too-many-attempts',
}

/** A worker's answer as it is stored: inline in base64, or under a name in the object store. */
export type StoredBody = {
  readonly inline: string | null;
  readonly object: string | null;
};

/** The final result of a piece of work. */
export type WorkResult = {
  readonly outcome: Outcome;
  readonly reason: string;
  readonly status: number | null;
  readonly contentType: string | null;
  readonly body: StoredBody | null;
};

/** A piece of accepted work. */
export type Work = {
  readonly id: string;
  readonly queue: string;
  readonly team: string;
  readonly contentType: string;
  readonly body: StoredBody;
  /** SHA-256 of the body, in hexadecimal. */
  readonly digest: string;
  readonly priority: PriorityClass;
  readonly isRepeatable: boolean;
  /** Wall-clock milliseconds. */
  readonly acceptedAt: number;
  /** Wall-clock milliseconds by which it has to end. */
  readonly deadlineAt: number;
  /** Wall-clock milliseconds before which it is not tried again. */
  readonly notBefore: number;
  readonly state: WorkState;
  /** Entry and incarnation that run it, or `null`. */
  readonly owner: string | null;
  readonly attempts: number;
  readonly isCancelRequested: boolean;
  /** Wall-clock milliseconds, or `null` before the end. */
  readonly endedAt: number | null;
  readonly result: WorkResult | null;
};

/** A piece of work together with the version of its row. */
export type VersionedWork = {
  readonly work: Work;
  readonly version: number;
};

/** True when work with this state can still change. */
export function isOpen({ state }: Work): boolean {
  return state !== WorkState.Ended;
}

/** Builds the row of work that has ended. */
export function buildEnded(work: Work, result: WorkResult, wallTime: number): Work {
  return { ...work, state: WorkState.Ended, owner: null, result, endedAt: wallTime };
}

/** Builds a result without an answer. */
export function buildPlainResult(outcome: Outcome, reason: string): WorkResult {
  return { outcome, reason, status: null, contentType: null, body: null };
}
