/**
 * Load pattern: queues take turns that resemble each other: within a second or two each asks for about
 * what the one before it asked at its peak. Machines take longer than that to join a pool, so once a
 * pool's turn begins, it is given most of what earlier turns needed before its own load shows it.
 * Without earlier turns nothing is expected, and a single large job begins none.
 */

/** What a pool asks for at one moment. */
export type TurnSign = {
  readonly pool: string;
  /** Hosts that it asks for beyond what its tasks that last need. */
  readonly extraHosts: number;
  /** Jobs that arrived within the last second. */
  readonly arrivingJobs: number;
};

/** Turns that are remembered, over all pools. */
const REMEMBERED_TURNS = 4;

/** Share of the usual peak that a pool is given at once; the rest follows its load. */
const EXPECTED_SHARE = 0.75;

/** Share of the usual peak at which a turn counts as begun. */
const BEGIN_SHARE = 0.2;

/** Jobs within a second without which no turn begins. */
const BEGIN_JOBS = 3;

/** Time from the beginning of a turn for which its usual peak is expected, in ms: a move and its order. */
const EXPECT_MS = 2_500;

/** Time without such load after which a turn has ended, in ms. */
const END_MS = 1_500;

/** Least time that a turn lasts, in ms; shorter ones teach nothing. */
const LEAST_TURN_MS = 2_000;

type Turn = { readonly beganAtMs: number; readonly peakHosts: number; readonly lastAtMs: number };

/** Learns how much turns ask for, and expects as much of those that begin. */
export class TurnRhythm {
  readonly #turns = new Map<string, Turn>();

  #peaks: readonly number[] = [];

  /**
   * Records what a pool asks for, and gives the hosts beyond its base that it will need soon.
   *
   * @param leastHosts extra hosts from which load counts as a turn while none was seen before.
   */
  record({ pool, extraHosts, arrivingJobs }: TurnSign, leastHosts: number, nowMs: number): number {
    const usual = this.#getUsualPeak();
    const isLoaded = extraHosts >= Math.max(leastHosts, BEGIN_SHARE * usual);
    const turn = this.#turns.get(pool) ?? null;
    if (turn === null) {
      if (isLoaded && arrivingJobs >= BEGIN_JOBS) {
        this.#turns.set(pool, { beganAtMs: nowMs, peakHosts: extraHosts, lastAtMs: nowMs });
        return EXPECTED_SHARE * usual;
      }
      return 0;
    }
    if (isLoaded) {
      const peakHosts = Math.max(turn.peakHosts, extraHosts);
      this.#turns.set(pool, { ...turn, peakHosts, lastAtMs: nowMs });
    } else if (nowMs - turn.lastAtMs > END_MS) {
      this.#endTurn(pool, turn);
      return 0;
    }
    return nowMs - turn.beganAtMs < EXPECT_MS ? EXPECTED_SHARE * usual : 0;
  }

  #endTurn(pool: string, { beganAtMs, lastAtMs, peakHosts }: Turn): void {
    this.#turns.delete(pool);
    if (lastAtMs - beganAtMs >= LEAST_TURN_MS) {
      this.#peaks = [...this.#peaks, peakHosts].slice(-REMEMBERED_TURNS);
    }
  }

  /** The lower median of the peaks that are remembered; 0 while there are none. */
  #getUsualPeak(): number {
    const ordered = this.#peaks.toSorted((a, b) => a - b);
    return ordered[Math.floor((ordered.length - 1) / 2)] ?? 0;
  }
}
