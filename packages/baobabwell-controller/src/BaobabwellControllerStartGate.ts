import type { TermContext } from './BaobabwellControllerContext';

import { START_TRANSIT_MS } from './BaobabwellControllerConstants';

type GateContext = Pick<TermContext, 'ownership' | 'bounds' | 'logger' | 'getJobsAgeMs'>;

/** Decides whether runs may start now, by the owner's lease and by the age of what it knows of jobs. */
export class StartGate {
  readonly #context: GateContext;

  #isClosed = false;

  constructor(context: GateContext) {
    this.#context = context;
  }

  /**
   * Returns the version of the store up to which accepted jobs may be started now; `null` if none may.
   * A job may have been cancelled since its owner last knew all cancellations.
   */
  findMaxStartableVersion(): number | null {
    const { ownership } = this.#context;
    // While its lease has expired, the owner has its own bound: the store answers nobody, so that no
    // cancellation is acknowledged either.
    const isClosed = ownership.canAct() && this.#isOutdated();
    if (isClosed !== this.#isClosed) {
      this.#isClosed = isClosed;
      this.#recordChange();
    }
    return isClosed ? null : ownership.findMaxStartableVersion();
  }

  #isOutdated(): boolean {
    const { bounds, getJobsAgeMs } = this.#context;
    return getJobsAgeMs() > bounds.cancellationMs - START_TRANSIT_MS;
  }

  #recordChange(): void {
    const { logger, getJobsAgeMs } = this.#context;
    const jobsAgeMs = Math.round(getJobsAgeMs());
    if (this.#isClosed) {
      logger.recordWarning('starts-suspended', { jobsAgeMs });
    } else {
      logger.recordInfo('starts-resumed', { jobsAgeMs });
    }
  }
}
