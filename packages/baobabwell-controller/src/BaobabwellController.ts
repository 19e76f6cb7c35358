import type { EarlyHosts } from './BaobabwellControllerTermLeases';
import type { TermOptions } from './BaobabwellControllerTermOptions';
import type { OfferReply } from '@baobabwell/ingress';
import type { JobRecord, JobState, QueueSettings } from '@baobabwell/jobs';
import type { Term } from '@baobabwell/ownership';

import { OwnerClient } from '@baobabwell/ingress';
import { Activity } from '@baobabwell/processor-time';
import { readClocks } from '@baobabwell/utils';

import { OwnerTerm } from './BaobabwellControllerTerm';
import { readEarlyHosts } from './BaobabwellControllerTermLeases';
import { countWaitingJobs } from './BaobabwellControllerWaitingJobs';

/** Runs the terms of this daemon and answers calls to the owner while it is the owner. */
export class Controller extends OwnerClient {
  readonly #options: TermOptions;

  #term: OwnerTerm | null = null;

  /** Hosts that were read beside the latest takeover that was sent. */
  #earlyHosts: EarlyHosts | null = null;

  /** Settles once this process renews no leases on hosts any more; set when it stops. */
  #keptLeases: Promise<void> = Promise.resolve();

  constructor(options: TermOptions) {
    super();
    this.#options = options;
  }

  /** Reads the stored hosts while a takeover is not answered; nothing is ordered before its term starts. */
  prepareTerm(): void {
    this.#earlyHosts = readEarlyHosts(this.#options);
  }

  startTerm(term: Term): void {
    this.#term?.end();
    const ownerTerm = new OwnerTerm(this.#options, term);
    this.#term = ownerTerm;
    void ownerTerm.run(this.#earlyHosts);
    this.#earlyHosts = null;
  }

  endTerm(): void {
    this.#term?.end();
    this.#term = null;
  }

  /**
   * Stops in good order: ends the term and releases the ownership. Leases on hosts are renewed further on,
   * until a successor does; see {@link waitForLeases}.
   */
  async stop(): Promise<void> {
    const { clock, ownership } = this.#options;
    const term = this.#term;
    this.endTerm();
    const releasedAt = readClocks(clock);
    const released = ownership.stop();
    this.#keptLeases = term?.keepLeases(releasedAt) ?? this.#keptLeases;
    await released;
  }

  /** Waits until this process has stopped and renews no leases on hosts any more. */
  async waitForLeases(): Promise<void> {
    await this.#keptLeases;
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

  override async countWaiting(queue: QueueSettings): Promise<number | null> {
    const term = this.getLoadedTerm();
    return term && countWaitingJobs(term.context, queue);
  }
}
