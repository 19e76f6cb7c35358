import type { Outcome } from '@baobabwell/model';

/** An answer as it is kept for repeats. */
export type KeptAnswer = {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
};

/** The outcome of work as it is kept for repeats. */
export type KeptResult = {
  readonly outcome: Outcome;
  readonly reason: string;
  readonly answer: KeptAnswer | null;
};

/** A call with an idempotency key. */
export type KeyedCall = {
  readonly key: string;
  readonly team: string;
  /** Equal for equal requests. */
  readonly fingerprint: string;
  readonly isRepeatable: boolean;
  /** Monotonic milliseconds. */
  readonly deadlineAt: number;
};

/** How a call with an idempotency key ended. */
export type KeyedResult =
  /** The work was dispatched now, and `execute` gave its result. */
  | { readonly kind: 'executed' }
  /** An earlier request with the key had ended with this result. */
  | { readonly kind: 'kept'; readonly result: KeptResult }
  /** The key was used for another request. */
  | { readonly kind: 'other-request' }
  /** The key was used by another team. */
  | { readonly kind: 'other-team' }
  /** The claim could not be written; nothing was dispatched. */
  | { readonly kind: 'unavailable' }
  /** An earlier request with the key has not ended. */
  | { readonly kind: 'in-progress' }
  /** The result is kept and could not be read. */
  | { readonly kind: 'unreadable' };
