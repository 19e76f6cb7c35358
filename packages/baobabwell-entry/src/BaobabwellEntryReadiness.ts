/** Reason why an entry is not ready for callers. */
export enum NotReadyCause {
  ViewStale = 'view-stale',
  Stopping = 'stopping',
}

/** Tracks whether the platform's load balancer should send callers to this entry. */
export class Readiness {
  readonly #isCurrent: () => boolean;

  #isStopping = false;

  constructor(isCurrent: () => boolean) {
    this.#isCurrent = isCurrent;
  }

  /** Returns why the entry is not ready, or `null` when it is ready. */
  getCause(): NotReadyCause | null {
    if (this.#isStopping) {
      return NotReadyCause.Stopping;
    }
    return this.#isCurrent() ? null : NotReadyCause.ViewStale;
  }

  /** Returns whether the entry has begun to stop. */
  isStopping(): boolean {
    return this.#isStopping;
  }

  /** Marks the entry as stopping, which makes it not ready. */
  stop(): void {
    this.#isStopping = true;
  }
}
