import type { Host } from './BaobabwellControllerHost';
import type { TermOptions } from './BaobabwellControllerTermOptions';
import type { Term } from '@baobabwell/ownership';

const SECOND_MS = 1_000;

/** Reports how long after its acquisition of the ownership a term first renewed a lease on a host. */
export class LeaseLog {
  readonly #options: Pick<TermOptions, 'clock' | 'logger' | 'metrics'> & { readonly term: Term };

  /** Monotonic time of the acquisition, in ms. */
  readonly #acquiredAtMs: number;

  #hasRenewed = false;

  constructor(
    options: Pick<TermOptions, 'clock' | 'logger' | 'metrics'> & { readonly term: Term },
  ) {
    this.#options = options;
    this.#acquiredAtMs = options.clock.getNow();
  }

  /**
   * Records that a host confirmed a lease.
   *
   * @param sentAtMs monotonic time at which the renewal was sent, in ms.
   */
  recordRenewal({ incarnation, isReconciled }: Host, sentAtMs: number): void {
    if (this.#hasRenewed) {
      return;
    }
    this.#hasRenewed = true;
    const { logger, metrics, term } = this.#options;
    const afterMs = sentAtMs - this.#acquiredAtMs;
    metrics.leases.termFirstLeaseSeconds.observe(afterMs / SECOND_MS);
    logger.recordInfo('first-lease-renewed', {
      epoch: term.epoch,
      host: incarnation.id,
      afterMs: Math.round(afterMs),
      isReconciled,
    });
  }
}
