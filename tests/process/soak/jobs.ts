import type { CallRecord } from './client';

import { CallEnd } from './client';

const HTTP_OK = 200;
const HTTP_GONE = 410;

/** Time after which an accepted job is visible everywhere, in ms. */
const VISIBLE_MS = 3_000;

type SoakJob = {
  readonly id: string;
  readonly acceptedAtMs: number;
  isCancelled: boolean;
  isCompleted: boolean;
};

/** What is known of the jobs that were accepted, and what was shown of them against the rules. */
export class SoakJobs {
  readonly broken: string[] = [];

  readonly #jobs = new Map<string, SoakJob>();

  list(): readonly SoakJob[] {
    return [...this.#jobs.values()];
  }

  recordSubmission(id: string, { end, status, endedAtMs }: CallRecord): void {
    if (end === CallEnd.Answered && status === HTTP_OK) {
      const job = { id, acceptedAtMs: endedAtMs, isCancelled: false, isCompleted: false };
      this.#jobs.set(id, job);
    }
  }

  /** Records that a job's cancelling is about to be sent. */
  recordCancelling(id: string): void {
    const job = this.#jobs.get(id);
    if (job !== undefined) {
      job.isCancelled = true;
    }
  }

  /** Records the answer to a read that was sent while the job was accepted. */
  recordState(id: string, { end, status, body, sentAtMs }: CallRecord): void {
    const job = this.#jobs.get(id);
    if (job === undefined || end !== CallEnd.Answered) {
      return;
    }
    const { state } = body;
    if (state === 'completed') {
      job.isCompleted = true;
    }
    const isGone = status === HTTP_GONE && sentAtMs > job.acceptedAtMs + VISIBLE_MS;
    const isEndedWithoutCause = state === 'failed' || state === 'cancelled';
    if (!job.isCancelled && (isGone || isEndedWithoutCause)) {
      this.broken.push(`job ${id} is shown as ${status} ${String(state)}`);
    }
  }
}
