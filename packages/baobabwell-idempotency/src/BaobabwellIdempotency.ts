import type { Outcome } from '@baobabwell/model';

/** Answer that is retained for repeated requests. */
export type RetainedAnswer = {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
};

/** Outcome of work that is retained for repeated requests. */
export type RetainedResult = {
  readonly outcome: Outcome;
  readonly reason: string;
  readonly answer: RetainedAnswer | null;
};

/** A call with an idempotency key. */
export type KeyedCall = {
  readonly key: string;
  readonly team: string;
  /** Fingerprint of the request; equal requests have equal fingerprints. */
  readonly fingerprint: string;
  readonly isRepeatable: boolean;
  /** Monotonic milliseconds. */
  readonly deadlineAt: number;
};

/** Result of a call with an idempotency key. */
export type KeyedResult =
  /** The work was dispatched by this call, and `execute` returned its result. */
  | { readonly kind: 'executed' }
  /** An earlier request with the key ended with this result. */
  | { readonly kind: 'kept'; readonly result: RetainedResult }
  /** The key was used for another request. */
  | { readonly kind: 'other-request' }
  /** The key was used by another team. */
  | { readonly kind: 'other-team' }
  /** The claim could not be written; nothing was dispatched. */
  | { readonly kind: 'unavailable' }
  /** An earlier request with the key has not ended. */
  | { readonly kind: 'in-progress' }
  /** The result is stored but could not be read. */
  | { readonly kind: 'unreadable' };
