import type { Outcome, PriorityClass } from '@baobabwell/model';

/** State of a deferred work item. */
export enum WorkState {
  /** Stored; it starts while the window of its queue is open, in the order of deadlines. */
  Waiting = 'waiting',
  /** Claimed by an entry, which may already have sent it to a worker. */
  Running = 'running',
  /** Its result is final. */
  Ended = 'ended',
}

/** Reasons why work ended without an answer, in addition to the reasons of calls. */
export enum WorkReason {
  Cancelled = 'cancelled',
  Deadline = 'deadline',
  OwnerLost = 'owner-lost',
  TooManyAttempts = 'too-many-attempts',
}

/** Stored body: inline in base64, or the name of an object in the object store. */
export type StoredBody = {
  readonly inline: string | null;
  readonly object: string | null;
};

/** Final result of a work item. */
export type WorkResult = {
  readonly outcome: Outcome;
  readonly reason: string;
  readonly status: number | null;
  readonly contentType: string | null;
  readonly body: StoredBody | null;
};

/** Accepted work item. */
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
  /** Wall-clock milliseconds by which the item has to end. */
  readonly deadlineAt: number;
  /** Wall-clock milliseconds before which the item is not started. */
  readonly notBefore: number;
  readonly state: WorkState;
  /** Entry and incarnation that claimed the item, or `null`. */
  readonly owner: string | null;
  readonly attempts: number;
  readonly isCancelRequested: boolean;
  /** Wall-clock milliseconds at which the item ended, or `null` before its end. */
  readonly endedAt: number | null;
  readonly result: WorkResult | null;
};

/** Work item with the version of its row. */
export type VersionedWork = {
  readonly work: Work;
  readonly version: number;
};

/** Returns whether a work item has not ended yet. */
export function isOpen({ state }: Work): boolean {
  return state !== WorkState.Ended;
}

/** Builds the final row of a work item. */
export function buildEnded(work: Work, result: WorkResult, wallTime: number): Work {
  return { ...work, state: WorkState.Ended, owner: null, result, endedAt: wallTime };
}

/** Builds a result without a worker's answer. */
export function buildPlainResult(outcome: Outcome, reason: string): WorkResult {
  return { outcome, reason, status: null, contentType: null, body: null };
}
