/** Holds whether this process is stopping. */
export class DaemonState {
  #isStopping = false;

  get isStopping(): boolean {
    return this.#isStopping;
  }

  /** Records that the process received a stop signal. */
  recordStop(): void {
    this.#isStopping = true;
  }
}
