import type { PriorityClass } from '@baobabwell/model';
import type { WorkerSession } from '@baobabwell/workers';

/** A request for a slot on behalf of a call. */
export type SlotRequest = {
  readonly callId: string;
  readonly pool: string;
  readonly team: string;
  readonly priority: PriorityClass;
  /** Deadline on the monotonic clock, in milliseconds; waiting longer is useless. */
  readonly deadlineAt: number;
  /** Hosts that must not be chosen. */
  readonly excludedHosts: ReadonlySet<string>;
};

/** A granted slot on a worker, together with the team's permit. */
export type SlotGrant = {
  readonly session: WorkerSession;
  /** Releases slot and permit; called exactly once, after the work has certainly ended. */
  readonly release: () => void;
};

/** Reason why a call was not granted a slot. */
export type SlotRefusal =
  | { readonly kind: 'queue-full'; readonly retryAfterMs: number }
  | { readonly kind: 'deadline'; readonly retryAfterMs: number }
  | { readonly kind: 'cancelled' }
  | { readonly kind: 'no-host' }
  | { readonly kind: 'stopping' };
