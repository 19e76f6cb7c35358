import type { JobRecord, JobState } from '@baobabwell/jobs';

/** Whether the owner agrees to the submission of a job. */
export type OfferReply =
  | { readonly isWanted: true }
  | { readonly isWanted: false; readonly reason: string; readonly retryAfterMs: number };

/** Client of the fleet's owner. Operations never reject; `null` means that no answer arrived. */
export abstract class OwnerClient {
  /** Asks the owner whether a job can be served. */
  abstract offer(job: JobRecord): Promise<OfferReply | null>;

  /** Finds the state of a job; returns `null` also when the owner has no such job. */
  abstract findState(jobId: string): Promise<JobState | null>;

  /** Counts the waiting jobs of a queue. */
  abstract countWaiting(queue: string): Promise<number | null>;
}
