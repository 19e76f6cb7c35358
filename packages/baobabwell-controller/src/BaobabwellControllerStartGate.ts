import type { TermContext } from './BaobabwellControllerContext';

import { MAX_ORDER_DELAY_MS, START_TRANSIT_MS } from './BaobabwellControllerConstants';
import { isHostViewTooOld } from './BaobabwellControllerHostView';

type GateContext = Pick<
  TermContext,
  'ownership' | 'bounds' | 'logger' | 'getConfiguration' | 'getJobsAgeMs'
> & {
  /** Returns the time in ms since the hosts were known to be as the platform lists them. */
  readonly getWorkersAgeMs: () => number;
};

/** Decides whether runs may start now, by the owner's lease and by the age of what it knows. */
export class StartGate {
  readonly #context: GateContext;

  #isClosed = false;

  #hasSuspendedPools = false;

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

  /** Lists the pools in which no run may start, since their hosts may have changed meanwhile. */
  listSuspendedPools(): ReadonlySet<string> {
    const { ownership, bounds, getConfiguration, getWorkersAgeMs } = this.#context;
    const view = {
      ageMs: getWorkersAgeMs(),
      maxAgeMs: bounds.drainMs - START_TRANSIT_MS,
      canRenew: ownership.canAct(),
    };
    const pools = (getConfiguration()?.pools ?? [])
      .filter(({ checksRoom }) => isHostViewTooOld(view, checksRoom))
      .map(({ name }) => name);
    if (pools.length > 0 !== this.#hasSuspendedPools) {
      this.#hasSuspendedPools = pools.length > 0;
      this.#recordPools(pools.length, view.ageMs);
    }
    return new Set(pools);
  }

  #recordPools(pools: number, ageMs: number): void {
    const { logger } = this.#context;
    const workersAgeMs = Math.round(ageMs);
    if (pools > 0) {
      logger.recordWarning('pools-suspended', { pools, workersAgeMs });
    } else {
      logger.recordInfo('pools-resumed', { pools, workersAgeMs });
    }
  }

  #isOutdated(): boolean {
    const { bounds, getJobsAgeMs } = this.#context;
    return getJobsAgeMs() > bounds.cancellationMs - MAX_ORDER_DELAY_MS;
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
