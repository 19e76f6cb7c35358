import type { FleetBounds } from './BaobabwellControllerModel';
import type { StoreOutage } from './BaobabwellControllerStoreOutage';
import type { Logger } from '@baobabwell/logging';
import type { Ownership } from '@baobabwell/ownership';

import { START_TRANSIT_MS } from './BaobabwellControllerConstants';

type GateContext = {
  readonly ownership: Ownership;
  readonly bounds: FleetBounds;
  readonly logger: Logger;
  readonly getJobsAgeMs: () => number;
  readonly storeOutage: StoreOutage;
};

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
    const isClosed = this.#isOutdated();
    if (isClosed !== this.#isClosed) {
      this.#isClosed = isClosed;
      this.#recordChange();
    }
    return isClosed ? null : ownership.findMaxStartableVersion();
  }

  #isOutdated(): boolean {
    const { bounds, ownership, getJobsAgeMs, storeOutage } = this.#context;
    // A store that answers nobody acknowledges no cancellation: past the lease, what was known at the last
    // renewal counts. While it answers a peer, only what is known now counts.
    const sinceRenewalMs =
      !ownership.canAct() && storeOutage.isCommon() ? ownership.getLeaseAgeMs() : 0;
    return getJobsAgeMs() - sinceRenewalMs > bounds.cancellationMs - START_TRANSIT_MS;
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
