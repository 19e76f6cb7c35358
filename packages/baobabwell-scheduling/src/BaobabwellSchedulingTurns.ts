import type { PriorityClass } from '@baobabwell/model';
import type { WorkerSession } from '@baobabwell/workers';

/** A call that waits for a slot. */
export type TurnRequest = {
  readonly callId: string;
  readonly pool: string;
  readonly team: string;
  readonly priority: PriorityClass;
  /** Monotonic milliseconds after which waiting is useless. */
  readonly deadlineAt: number;
  /** Hosts that must not be chosen. */
  readonly excludedHosts: ReadonlySet<string>;
};

/** A slot on a worker together with the team's permit. */
export type Turn = {
  readonly session: WorkerSession;
  /** Gives slot and permit back, once the work has certainly ended; called exactly once. */
  readonly release: () => void;
};

/** Why a call did not get its turn. */
export type TurnRefusal =
  | { readonly kind: 'queue-full'; readonly retryAfterMs: number }
  | { readonly kind: 'deadline'; readonly retryAfterMs: number }
  | { readonly kind: 'cancelled' }
  | { readonly kind: 'no-host' }
  | { readonly kind: 'stopping' };
