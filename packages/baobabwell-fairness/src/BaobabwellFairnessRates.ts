/**
 * Load pattern: an organisation sends several times its weight in jobs a second for some seconds. The
 * jobs beyond its weight are known as they arrive, so that they wait, or are refused, before those of
 * organisations that keep to theirs.
 */

const SECOND_MS = 1_000;

/** Time for which an organisation may save up what it does not send, in seconds. */
const SAVED_S = 2;

type Tokens = { count: number; atMs: number };

/** Counts the jobs of each organisation against its weight in jobs a second (token bucket). */
export class ArrivalRates {
  readonly #tokens = new Map<string, Tokens>();

  /** Returns true if a job that arrives at the given time is within the rate, and counts it. */
  take(organisation: string, weight: number, atMs: number): boolean {
    const maxCount = Math.max(1, weight * SAVED_S);
    const tokens = this.#tokens.get(organisation) ?? { count: maxCount, atMs };
    const elapsedMs = Math.max(0, atMs - tokens.atMs);
    const count = Math.min(maxCount, tokens.count + (elapsedMs * weight) / SECOND_MS);
    const isWithin = count >= 1;
    this.#tokens.set(organisation, {
      count: isWithin ? count - 1 : count,
      atMs: Math.max(tokens.atMs, atMs),
    });
    return isWithin;
  }

  /** Gives back what a job that was within the rate took; it was refused. */
  release(organisation: string): void {
    const tokens = this.#tokens.get(organisation);
    if (tokens !== undefined) {
      tokens.count += 1;
    }
  }

  /** Returns the time until a job is within the rate, in ms. */
  getDelayMs(organisation: string, weight: number, nowMs: number): number {
    const tokens = this.#tokens.get(organisation);
    if (tokens === undefined || weight <= 0) {
      return 0;
    }
    const missing = Math.max(0, 1 - tokens.count);
    return Math.max(0, (missing / weight) * SECOND_MS - Math.max(0, nowMs - tokens.atMs));
  }
}
