import type { RecentRefusal } from './BaobabwellIngressRefusalMemory';
import type { JobRecord, JobState, QueueSettings } from '@baobabwell/jobs';
import type { Deadline } from '@baobabwell/utils';

/**
 * Whether the owner admits a job (`isWanted`), and if not, why; with the jobs of the queue that it refused
 * in the last moments.
 */
export type OfferReply = { readonly refusals: readonly RecentRefusal[] } & (
  | { readonly isWanted: true }
  | { readonly isWanted: false; readonly reason: string; readonly retryAfterMs: number }
);

/**
 * Client of the fleet's owner. Operations never reject; `null` means that no answer arrived before the
 * deadline.
 */
export abstract class OwnerClient {
  /** Asks the owner whether it admits a job. */
  abstract offer(job: JobRecord, deadline?: Deadline): Promise<OfferReply | null>;

  /** Finds the state of a job; returns `null` also when the owner has no such job. */
  abstract findState(jobId: string, deadline?: Deadline): Promise<JobState | null>;

  /** Counts the waiting jobs of a queue. */
  abstract countWaiting(queue: QueueSettings, deadline?: Deadline): Promise<number | null>;
}
