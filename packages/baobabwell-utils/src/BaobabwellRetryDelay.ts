/** Growing pauses between attempts: a service that turns everybody away is not asked ever more. */
export class RetryDelay {
  readonly #firstMs: number;

  readonly #mostMs: number;

  #nextMs: number;

  /**
   * @param firstMs pause after a first failure, in ms.
   * @param mostMs longest pause, in ms.
   */
  constructor(firstMs: number, mostMs: number) {
    this.#firstMs = firstMs;
    this.#mostMs = mostMs;
    this.#nextMs = firstMs;
  }

  /** Gives the pause after one more failure, in ms: twice the last, up to the longest. */
  advance(): number {
    const delayMs = this.#nextMs;
    this.#nextMs = Math.min(this.#mostMs, 2 * delayMs);
    return delayMs;
  }

  /** An attempt succeeded: the next failure counts as the first. */
  settle(): void {
    this.#nextMs = this.#firstMs;
  }
}
