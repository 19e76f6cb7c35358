/** Why an entry takes no new callers. */
export enum NotReadyCause {
  ViewStale = 'view-stale',
  Stopping = 'stopping',
}

/** Tells the platform's balancer whether to send callers here. */
export class Readiness {
  readonly #isCurrent: () => boolean;

  #isStopping = false;

  constructor(isCurrent: () => boolean) {
    this.#isCurrent = isCurrent;
  }

  /** Why the entry is not ready, or `null` when it is. */
  getCause(): NotReadyCause | null {
    if (this.#isStopping) {
      return NotReadyCause.Stopping;
    }
    return this.#isCurrent() ? null : NotReadyCause.ViewStale;
  }

  /** True once the entry has begun to stop. */
  isStopping(): boolean {
    return this.#isStopping;
  }

  /** Begins the stop: from now on the entry is not ready. */
  stop(): void {
    this.#isStopping = true;
  }
}
