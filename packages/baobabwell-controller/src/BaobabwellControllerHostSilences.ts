/** A span in which a host became silent: from its last answer to the first call without one. */
type Silence = {
  readonly answeredAtMs: number;
  readonly noticedAtMs: number;
};

/** Time for which silences are kept, in ms: longer than a host needs to come back. */
const RETENTION_MS = 30_000;

/** Records when hosts became silent, so that crashes with a common cause can be recognised. */
export class HostSilences {
  readonly #silences = new Map<string, Silence>();

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
}
