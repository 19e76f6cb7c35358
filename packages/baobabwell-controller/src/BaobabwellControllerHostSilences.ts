/** A span in which a host became silent: from its last answer to the first call without one. */
type Silence = {
  readonly answeredAtMs: number;
  readonly noticedAtMs: number;
};

/** Time for which silences are kept, in ms: longer than a host needs to come back. */
const RETENTION_MS = 30_000;

/** Time for which a crash that no task caused shows that hosts crash for other reasons, in ms. */
const OTHER_CRASH_WINDOW_MS = 10_000;

/** Records when and why hosts became silent, so that crashes that no task caused can be recognised. */
export class HostSilences {
  readonly #silences = new Map<string, Silence>();

  #otherCrashAtMs = -Infinity;

  record(hostId: string, silence: Silence): void {
    const oldestMs = silence.noticedAtMs - RETENTION_MS;
    this.#silences.forEach(({ noticedAtMs }, id) => {
      if (noticedAtMs < oldestMs) {
        this.#silences.delete(id);
      }
    });
    this.#silences.set(hostId, silence);
  }

  /** Removes the silence of a host that answers again in the same incarnation. */
  remove(hostId: string): void {
    this.#silences.delete(hostId);
  }

  /** Counts the other hosts that may have become silent in the same moment as a host. */
  countSimultaneous(hostId: string): number {
    const silence = this.#silences.get(hostId);
    if (silence === undefined) {
      return 0;
    }
    return [...this.#silences].filter(
      ([id, { answeredAtMs, noticedAtMs }]) =>
        id !== hostId && answeredAtMs <= silence.noticedAtMs && noticedAtMs >= silence.answeredAtMs,
    ).length;
  }

  /** Records a crash of a host on which no task had just started. */
  recordOtherCrash(nowMs: number): void {
    this.#otherCrashAtMs = nowMs;
  }

  /** Returns true when hosts crashed lately although no task had just started there. */
  hasOtherCrashes(nowMs: number): boolean {
    return nowMs - this.#otherCrashAtMs <= OTHER_CRASH_WINDOW_MS;
  }
}
