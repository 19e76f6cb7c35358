import type { FleetBounds } from './BaobabwellControllerModel';
import type { StoreOutage } from './BaobabwellControllerStoreOutage';
import type { Logger } from '@baobabwell/logging';
import type { Ownership } from '@baobabwell/ownership';

import { START_TRANSIT_MS } from './BaobabwellControllerConstants';
import { isEvacuationViewTooOld } from './BaobabwellControllerEvacuationView';

type GateContext = {
  readonly ownership: Ownership;
  readonly bounds: FleetBounds;
  readonly logger: Logger;
  readonly getJobsAgeMs: () => number;
  /** Returns the time in ms since the operator's requests were known to be applied. */
  readonly getRequestsAgeMs: () => number;
  readonly storeOutage: StoreOutage;
};

/** Decides whether runs may start now, by the owner's lease and by the age of what it knows. */
export class StartGate {
  readonly #context: GateContext;

  #isClosed = false;

  constructor(context: GateContext) {
    this.#context = context;
  }

  /**
   * Returns the version of the store up to which accepted jobs may be started now; `null` if none may.
   * A job may have been cancelled, or a data centre evacuated, since its owner last knew all requests.
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
    const { bounds, ownership, getJobsAgeMs, getRequestsAgeMs, storeOutage } = this.#context;
    // A store that answers nobody acknowledges no cancellation: past the lease, what was known at the last
    // renewal counts. While it answers a peer, only what is known now counts.
    const sinceRenewalMs =
      !ownership.canAct() && storeOutage.isCommon() ? ownership.getLeaseAgeMs() : 0;
    const { cancellationMs, evacuationMs } = bounds;
    return (
      getJobsAgeMs() - sinceRenewalMs > cancellationMs - START_TRANSIT_MS ||
      isEvacuationViewTooOld({
        ageMs: getRequestsAgeMs(),
        unansweredMs: sinceRenewalMs,
        maxAgeMs: evacuationMs === null ? null : evacuationMs - START_TRANSIT_MS,
      })
    );
  }

  #recordChange(): void {
    const { logger, getJobsAgeMs, getRequestsAgeMs } = this.#context;
    const ages = {
      jobsAgeMs: Math.round(getJobsAgeMs()),
      requestsAgeMs: Math.round(getRequestsAgeMs()),
    };
    if (this.#isClosed) {
      logger.recordWarning('starts-suspended', ages);
    } else {
      logger.recordInfo('starts-resumed', ages);
    }
  }
}
