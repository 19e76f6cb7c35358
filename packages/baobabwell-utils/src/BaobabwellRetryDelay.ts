/** Exponential backoff, so that retries do not keep adding load to a service that refuses requests. */
export class RetryDelay {
  readonly #firstMs: number;

  readonly #maxMs: number;

  #nextMs: number;

  /**
   * @param firstMs delay after a first failure, in ms.
   * @param maxMs maximum delay, in ms.
   */
  constructor(firstMs: number, maxMs: number) {
    this.#firstMs = firstMs;
    this.#maxMs = maxMs;
    this.#nextMs = firstMs;
  }

  /** Returns the delay after one more failure, in ms: twice the last one, up to the maximum. */
  advance(): number {
    const delayMs = this.#nextMs;
    this.#nextMs = Math.min(this.#maxMs, 2 * delayMs);
    return delayMs;
  }

  /** Resets the backoff after a success; the next failure counts as the first. */
  reset(): void {
    this.#nextMs = this.#firstMs;
  }
}
