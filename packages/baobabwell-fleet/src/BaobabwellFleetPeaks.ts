/** Tracks the maximum number of hosts that each pool demanded within a recent time span. */
export class RecentPeaks {
  readonly #spanMs: number;

  /** Samples by pool, oldest first, each with its monotonic time in ms. */
  readonly #samples = new Map<
    string,
    readonly { readonly atMs: number; readonly hosts: number }[]
  >();

  /** @param spanMs time for which a sample counts, in ms. */
  constructor(spanMs: number) {
    this.#spanMs = spanMs;
  }

  /** Records the present demand of a pool, and returns its maximum within the time span. */
  record(pool: string, hosts: number, nowMs: number): number {
    const recent = (this.#samples.get(pool) ?? []).filter(
      ({ atMs }) => nowMs - atMs < this.#spanMs,
    );
    const samples = [...recent, { atMs: nowMs, hosts }];
    this.#samples.set(pool, samples);
    return Math.max(...samples.map((entry) => entry.hosts));
  }

  /** Finds the latest recorded demand of a pool. */
  findLast(pool: string): number | null {
    return this.#samples.get(pool)?.at(-1)?.hosts ?? null;
  }
}
