import { MAX_RETRY_TOKENS, RETRY_TOKENS_PER_CALL } from './BaobabwellCallsConstants';

/**
 * Token bucket that limits retries to a fraction of the calls. Each entry limits its own retries,
 * so the same fraction also limits the retries of the whole fleet.
 */
export class RetryBudget {
  #tokens = MAX_RETRY_TOKENS;

  /** Adds the tokens of a received call. */
  recordCall(): void {
    this.#tokens = Math.min(MAX_RETRY_TOKENS, this.#tokens + RETRY_TOKENS_PER_CALL);
  }

  /** Takes the token for one retry; returns `false` when none is left. */
  acquireRetry(): boolean {
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }
}
