/**
 * Load pattern: the store answers late, and callers ask for more than the open connections bring. A fixed
 * number of reads under way reaches less of the store's rate the slower it is; reads whose callers have gone
 * then take the turns of later ones. While the store is silent, reads that are sent again must not pass the
 * share of its rate either.
 */
import type { Clock, Deadline } from '@baobabwell/utils';

const MS_PER_S = 1_000;

/** Least number of reads under way: while the store is fast, more bring nothing. */
const MIN_UNDER_WAY = 8;

/** Largest number of reads under way, as many as the client of the store has connections. */
const MAX_UNDER_WAY = 64;

type WaitingRead = { readonly deadline: Deadline; readonly start: (mayStart: boolean) => void };

/** Returns the share of the store's rate of reads that one process has, per second. */
export function computeReadShare(readsPerS: number, processCount: number): number {
  return readsPerS / Math.max(1, processCount);
}

/** Returns how many reads may be under way for a process to use its share of the store's rate. */
export function computeMaxReadsUnderWay(options: {
  /** Reads that all processes together may make, per second. */
  readonly readsPerS: number;
  readonly processCount: number;
  /** Time until the store answers, in ms. */
  readonly latencyMs: number;
}): number {
  const sharePerS = computeReadShare(options.readsPerS, options.processCount);
  const underWay = Math.floor((sharePerS * options.latencyMs) / MS_PER_S);
  return Math.min(MAX_UNDER_WAY, Math.max(MIN_UNDER_WAY, underWay));
}

/**
 * Limits the reads that are under way; the others wait in turn, up to their deadlines. A read is sent again only
 * while what was sent in the last second is within the share of the store's rate.
 */
export class ReadLimiter {
  readonly #getMaxUnderWay: () => number;

  readonly #getLatencyMs: () => number;

  readonly #getSharePerS: () => number;

  readonly #clock: Clock;

  /** Monotonic times at which reads were sent in the last second, in ms. */
  readonly #sentAtMs: number[] = [];

  readonly #waiting: WaitingRead[] = [];

  #underWayCount = 0;

  constructor(options: {
    readonly clock: Clock;
    readonly getMaxUnderWay: () => number;
    /** Returns the time until a read is answered, in ms. */
    readonly getLatencyMs: () => number;
    /** Returns how many reads this process may send, per second. */
    readonly getSharePerS: () => number;
  }) {
    this.#clock = options.clock;
    this.#getSharePerS = options.getSharePerS;
    this.#getMaxUnderWay = options.getMaxUnderWay;
    this.#getLatencyMs = options.getLatencyMs;
  }

  /** Sends a read in its turn; returns `null` without sending it when its answer would come too late. */
  async run<Reply>(deadline: Deadline, send: () => Promise<Reply>): Promise<Reply | null> {
    const mayStart = await this.#waitForTurn(deadline);
    if (!mayStart) {
      return null;
    }
    this.#recordSent();
    try {
      return await send();
    } finally {
      this.#underWayCount -= 1;
      this.#startWaiting();
    }
  }

  /** Records that a read is sent again; returns false if it must not be. */
  startRepeat(): boolean {
    this.#removeOldSent();
    if (this.#sentAtMs.length >= this.#getSharePerS()) {
      return false;
    }
    this.#recordSent();
    return true;
  }

  #recordSent(): void {
    this.#removeOldSent();
    this.#sentAtMs.push(this.#clock.getNow());
  }

  #removeOldSent(): void {
    const sinceMs = this.#clock.getNow() - MS_PER_S;
    while ((this.#sentAtMs[0] ?? Infinity) <= sinceMs) {
      this.#sentAtMs.shift();
    }
  }

  async #waitForTurn(deadline: Deadline): Promise<boolean> {
    return new Promise((resolve) => {
      this.#waiting.push({ deadline, start: resolve });
      this.#startWaiting();
    });
  }

  /** Starts waiting reads while there is room. */
  #startWaiting(): void {
    const maxUnderWay = this.#getMaxUnderWay();
    while (this.#underWayCount < maxUnderWay) {
      const next = this.#waiting.shift();
      if (next === undefined) {
        return;
      }
      const mayStart = next.deadline.getRemainingMs() > this.#getLatencyMs();
      this.#underWayCount += mayStart ? 1 : 0;
      next.start(mayStart);
    }
  }
}
