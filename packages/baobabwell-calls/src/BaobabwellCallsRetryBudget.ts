import { RETRY_BURST, RETRY_FRACTION } from './BaobabwellCallsConstants';

/**
 * Bounds retries to a fraction of the calls. Every entry bounds its own, so that the sum over
 * the fleet is bounded by the same fraction of the whole load.
 */
export class RetryBudget {
  #tokens = RETRY_BURST;

  /** Records a call that was received. */
  recordCall(): void {
    this.#tokens = Math.min(RETRY_BURST, this.#tokens + RETRY_FRACTION);
  }

  /** Takes one retry; `false` when none is left. */
  acquire(): boolean {
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }
}
