import type { TermOptions } from './BaobabwellControllerTermOptions';
import type { OfferReply } from '@baobabwell/ingress';
import type { JobRecord, JobState } from '@baobabwell/jobs';
import type { Term } from '@baobabwell/ownership';

import { OwnerClient } from '@baobabwell/ingress';
import { Activity } from '@baobabwell/processor-time';

import { OwnerTerm } from './BaobabwellControllerTerm';

/** Runs the terms of this daemon and answers calls to the owner while it is the owner. */
export class Controller extends OwnerClient {
  readonly #options: TermOptions;

  #term: OwnerTerm | null = null;

  constructor(options: TermOptions) {
    super();
    this.#options = options;
  }

  startTerm(term: Term): void {
    this.#term?.end();
    const ownerTerm = new OwnerTerm(this.#options, term);
    this.#term = ownerTerm;
    void ownerTerm.run();
  }

  endTerm(): void {
    this.#term?.end();
    this.#term = null;
  }

  /** Returns the current term if it is loaded and its lease is valid, or `null`. */
  getLoadedTerm(): OwnerTerm | null {
    const isValid = this.#term?.isLoaded === true && this.#options.ownership.canAct();
    return isValid ? this.#term : null;
  }

  override async offer(job: JobRecord): Promise<OfferReply | null> {
    const term = this.getLoadedTerm();
    return term && this.#options.processorTime.measure(Activity.Admission, () => term.offer(job));
  }

  override async findState(jobId: string): Promise<JobState | null> {
    return this.#options.processorTime.measure(
      Activity.StateReads,
      () => this.getLoadedTerm()?.context.jobRegistry.findJob(jobId)?.getVisibleState() ?? null,
    );
  }

  override async countWaiting(queue: string): Promise<number | null> {
    return this.getLoadedTerm()?.context.jobRegistry.countWaiting(queue) ?? null;
  }
}
