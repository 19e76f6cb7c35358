/**
 * Load pattern: the store is silent for seconds and each submission waits for it anew, until its caller
 * has gone. After two submissions in a row without an answer the next ones are refused at once, and
 * single ones probe the store.
 */

/** Number of submissions in a row without an answer after which the store counts as silent. */
const MIN_UNANSWERED = 2;

/** Shortest time between two submissions that probe a silent store, in ms. */
const PROBE_INTERVAL_MS = 250;

/** Remembers that the store does not answer. */
export class StoreSilence {
  #unansweredCount = 0;

  #isProbing = false;

  #probedAtMs = -Infinity;

  /** Returns true if a submission may be sent to the store; while it is silent, one at a time. */
  canSubmit(nowMs: number): boolean {
    if (this.#unansweredCount < MIN_UNANSWERED) {
      return true;
    }
    if (this.#isProbing || nowMs - this.#probedAtMs < PROBE_INTERVAL_MS) {
      return false;
    }
    this.#isProbing = true;
    this.#probedAtMs = nowMs;
    return true;
  }

  /** Records that a submission says nothing about the store: its caller left too soon. */
  recordUnused(): void {
    this.#isProbing = false;
  }

  /** Records whether the store answered a submission. */
  record(isAnswered: boolean, nowMs: number): void {
    this.#unansweredCount = isAnswered ? 0 : this.#unansweredCount + 1;
    this.#isProbing = false;
    this.#probedAtMs = isAnswered ? -Infinity : nowMs;
  }
}
