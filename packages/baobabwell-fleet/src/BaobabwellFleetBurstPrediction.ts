/**
 * Load pattern: the queues have demand bursts one after the other, and the bursts resemble each
 * other: within a second or two, each reaches about the peak of the one before. Machines take
 * longer than that to join a pool, so a pool gets most of the usual peak at the start of its burst,
 * before its own load shows it. The burst before may still run then, and shows its peak as well.
 * Without an earlier burst nothing is predicted, and a single large job starts no burst.
 */

/** Demand on a pool at one moment. */
export type DemandSample = {
  readonly pool: string;
  /** Hosts demanded beyond those that its long running tasks require. */
  readonly extraHosts: number;
  /** Jobs that arrived within the last second. */
  readonly arrivingJobs: number;
};

/** A burst of one pool that has not ended. */
export type DemandBurst = {
  readonly startedAtMs: number;
  readonly peakHosts: number;
  readonly lastLoadedAtMs: number;
};

/** Past and running bursts, as they pass from one owner to the next. */
export type BurstRecord = {
  readonly peaks: readonly number[];
  readonly startsMs: readonly number[];
  /** Time at which the last burst of each pool ended, in ms. */
  readonly endedAtMs: Readonly<Record<string, number>>;
  readonly bursts: Readonly<Record<string, DemandBurst>>;
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

/**
 * Time after the end of a burst for which no other one of the same pool is predicted, in ms: the last
 * work of a burst comes and goes.
 */
const MIN_PAUSE_MS = 4_000;

/** Number of recorded starts of bursts, over all pools. */
const MAX_RECORDED_STARTS = 5;

/** Age above which what an earlier owner recorded says nothing about the present, in ms. */
const MAX_RESTORED_AGE_MS = 60_000;

function moveBurst(
  { startedAtMs, lastLoadedAtMs, peakHosts }: DemandBurst,
  offsetMs: number,
): DemandBurst {
  return {
    startedAtMs: startedAtMs + offsetMs,
    lastLoadedAtMs: lastLoadedAtMs + offsetMs,
    peakHosts,
  };
}

/** Records the peaks of past demand bursts, and predicts the peak of a burst that starts. */
export class BurstPredictor {
  readonly #bursts = new Map<string, DemandBurst>();

  /** Monotonic time at which the last burst of each pool ended, in ms. */
  readonly #endedAtMs = new Map<string, number>();

  #peaks: readonly number[] = [];

  /** Monotonic times at which the last bursts of any pool started, oldest first, in ms. */
  #startsMs: readonly number[] = [];

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
    const usualPeak = this.#getUsualPeak(pool, nowMs);
    const isLoaded = extraHosts >= Math.max(minHosts, BURST_START_SHARE * usualPeak);
    const burst = this.#bursts.get(pool) ?? null;
    if (burst === null) {
      const hasPaused = nowMs - (this.#endedAtMs.get(pool) ?? -Infinity) >= MIN_PAUSE_MS;
      if (isLoaded && hasPaused && arrivingJobs >= MIN_BURST_START_JOBS) {
        this.#bursts.set(pool, {
          startedAtMs: nowMs,
          peakHosts: extraHosts,
          lastLoadedAtMs: nowMs,
        });
        this.#startsMs = [...this.#startsMs, nowMs].slice(-MAX_RECORDED_STARTS);
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

  /** Lists the monotonic times at which the last bursts started, oldest first, in ms. */
  listStartsMs(): readonly number[] {
    return this.#startsMs;
  }

  /**
   * Returns what is recorded.
   *
   * @param offsetMs added to each time, so that another owner can read it.
   */
  save(offsetMs: number): BurstRecord {
    return {
      peaks: this.#peaks,
      startsMs: this.#startsMs.map((atMs) => atMs + offsetMs),
      endedAtMs: Object.fromEntries(
        [...this.#endedAtMs].map(([pool, atMs]) => [pool, atMs + offsetMs]),
      ),
      bursts: Object.fromEntries(
        [...this.#bursts].map(([pool, burst]) => [pool, moveBurst(burst, offsetMs)]),
      ),
    };
  }

  /**
   * Restores what another owner recorded, where this one has recorded nothing since.
   *
   * @param offsetMs added to each time of the record.
   */
  restore(record: BurstRecord, offsetMs: number, nowMs: number): void {
    const getTime = (atMs: number): number => Math.min(nowMs, atMs + offsetMs);
    this.#peaks = [...record.peaks, ...this.#peaks].slice(-MAX_RECORDED_BURSTS);
    const startsMs = [...this.#bursts].flatMap(([pool, { startedAtMs }]) =>
      // The other owner recorded the start of this burst.
      record.bursts[pool] === undefined ? [startedAtMs] : [],
    );
    this.#startsMs = [...record.startsMs.map(getTime), ...startsMs]
      .filter((atMs) => nowMs - atMs < MAX_RESTORED_AGE_MS)
      .slice(-MAX_RECORDED_STARTS);
    Object.entries(record.endedAtMs).forEach(([pool, atMs]) => {
      this.#endedAtMs.set(pool, Math.max(getTime(atMs), this.#endedAtMs.get(pool) ?? -Infinity));
    });
    Object.entries(record.bursts).forEach(([pool, burst]) => {
      const present = this.#bursts.get(pool);
      this.#bursts.set(pool, {
        startedAtMs: getTime(burst.startedAtMs),
        peakHosts: Math.max(burst.peakHosts, present?.peakHosts ?? 0),
        // The demand between the two owners is unknown.
        lastLoadedAtMs: present?.lastLoadedAtMs ?? nowMs,
      });
    });
  }

  #endBurst(pool: string, { startedAtMs, lastLoadedAtMs, peakHosts }: DemandBurst): void {
    this.#bursts.delete(pool);
    this.#endedAtMs.set(pool, lastLoadedAtMs);
    if (lastLoadedAtMs - startedAtMs >= MIN_BURST_MS) {
      this.#peaks = [...this.#peaks, peakHosts].slice(-MAX_RECORDED_BURSTS);
    }
  }

  /**
   * Returns the lower median of the recorded peaks and of those of bursts that other pools have; 0 if
   * there are none.
   */
  #getUsualPeak(pool: string, nowMs: number): number {
    const running = [...this.#bursts]
      .filter(([name, { startedAtMs }]) => name !== pool && nowMs - startedAtMs >= MIN_BURST_MS)
      .map(([, { peakHosts }]) => peakHosts);
    const ordered = [...this.#peaks, ...running].toSorted((a, b) => a - b);
    return ordered[Math.floor((ordered.length - 1) / 2)] ?? 0;
  }
}
