/**
 * Load pattern: the queues have demand bursts one after the other, and the bursts resemble each
 * other: within a second or two, each reaches about the peak of the one before. Machines take
 * longer than that to join a pool, so a pool gets most of the usual peak at the start of its burst,
 * before its own load shows it. Without an earlier burst nothing is predicted, and a single large
 * job starts no burst.
 */

/** Demand on a pool at one moment. */
export type DemandSample = {
  readonly pool: string;
  /** Hosts demanded beyond those that its long running tasks require. */
  readonly extraHosts: number;
  /** Jobs that arrived within the last second. */
  readonly arrivingJobs: number;
};

/** Number of past bursts whose peaks are recorded, over all pools. */
const MAX_RECORDED_BURSTS = 4;

/**
 * Share of the usual peak that is predicted at the start of a burst; the remainder follows the
 * load.
 */
const PREDICTED_SHARE = 0.75;

/** Share of the usual peak from which the demand counts as a burst. */
const BURST_START_SHARE = 0.2;

/** Minimum number of jobs within a second that start a burst. */
const MIN_BURST_START_JOBS = 3;

/**
 * Time from the start of a burst for which the usual peak is predicted, in ms: about as long as a
 * machine takes to join a pool, from the order on.
 */
const PREDICTION_MS = 2_500;

/** Time without such demand after which a burst has ended, in ms. */
const BURST_END_MS = 1_500;

/**
 * Minimum duration of a burst whose peak is recorded, in ms; shorter ones say nothing about later
 * bursts.
 */
const MIN_BURST_MS = 2_000;

type DemandBurst = {
  readonly startedAtMs: number;
  readonly peakHosts: number;
  readonly lastLoadedAtMs: number;
};

/** Records the peaks of past demand bursts, and predicts the peak of a burst that starts. */
export class BurstPredictor {
  readonly #bursts = new Map<string, DemandBurst>();

  #peaks: readonly number[] = [];

  /**
   * Records the demand on a pool, and returns the hosts beyond its base that it is predicted to
   * require soon.
   *
   * @param minHosts extra hosts from which demand counts as a burst if no earlier burst is
   * recorded.
   */
  record(
    { pool, extraHosts, arrivingJobs }: DemandSample,
    minHosts: number,
    nowMs: number,
  ): number {
    const usualPeak = this.#getUsualPeak();
    const isLoaded = extraHosts >= Math.max(minHosts, BURST_START_SHARE * usualPeak);
    const burst = this.#bursts.get(pool) ?? null;
    if (burst === null) {
      if (isLoaded && arrivingJobs >= MIN_BURST_START_JOBS) {
        this.#bursts.set(pool, {
          startedAtMs: nowMs,
          peakHosts: extraHosts,
          lastLoadedAtMs: nowMs,
        });
        return PREDICTED_SHARE * usualPeak;
      }
      return 0;
    }
    if (isLoaded) {
      const peakHosts = Math.max(burst.peakHosts, extraHosts);
      this.#bursts.set(pool, { ...burst, peakHosts, lastLoadedAtMs: nowMs });
    } else if (nowMs - burst.lastLoadedAtMs > BURST_END_MS) {
      this.#endBurst(pool, burst);
      return 0;
    }
    return nowMs - burst.startedAtMs < PREDICTION_MS ? PREDICTED_SHARE * usualPeak : 0;
  }

  #endBurst(pool: string, { startedAtMs, lastLoadedAtMs, peakHosts }: DemandBurst): void {
    this.#bursts.delete(pool);
    if (lastLoadedAtMs - startedAtMs >= MIN_BURST_MS) {
      this.#peaks = [...this.#peaks, peakHosts].slice(-MAX_RECORDED_BURSTS);
    }
  }

  /** Returns the lower median of the recorded peaks; 0 if there are none. */
  #getUsualPeak(): number {
    const ordered = this.#peaks.toSorted((a, b) => a - b);
    return ordered[Math.floor((ordered.length - 1) / 2)] ?? 0;
  }
}
