/** Holds whether this process is stopping. */
export class DaemonState {
  #endsAtMs = Infinity;

  get isStopping(): boolean {
    return this.#endsAtMs < Infinity;
  }

  /** Monotonic time at which the process ends in any case, in ms; infinite while it is not stopping. */
  get endsAtMs(): number {
    return this.#endsAtMs;
  }

  /** Records that the process received a stop signal, and when it ends in any case. */
  recordStop(endsAtMs: number): void {
    this.#endsAtMs = endsAtMs;
  }
}
