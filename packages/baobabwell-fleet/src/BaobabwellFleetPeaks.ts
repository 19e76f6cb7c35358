/** Most hosts that each pool asked for within the last moments. */
export class RecentPeaks {
  readonly #spanMs: number;

  /** Oldest first, with the monotonic time in ms. */
  readonly #asked = new Map<string, readonly { readonly atMs: number; readonly hosts: number }[]>();

  /** @param spanMs time for which an entry counts, in ms. */
  constructor(spanMs: number) {
    this.#spanMs = spanMs;
  }

  /** Records what a pool asks for now, and gives the most that it asked for lately. */
  record(pool: string, hosts: number, nowMs: number): number {
    const recent = (this.#asked.get(pool) ?? []).filter(({ atMs }) => nowMs - atMs < this.#spanMs);
    const asked = [...recent, { atMs: nowMs, hosts }];
    this.#asked.set(pool, asked);
    return Math.max(...asked.map((entry) => entry.hosts));
  }

  /** Finds what a pool asked for last. */
  findLast(pool: string): number | null {
    return this.#asked.get(pool)?.at(-1)?.hosts ?? null;
  }
}
