import type { CancelTimer, Clock } from './BaobabwellClock';

/** A wait that other code can end early. */
export class WakeSignal {
  readonly #clock: Clock;

  #endWait: (() => void) | null = null;

  /** Signal that this object listens to until it is closed: many listeners make each change slow. */
  #signal: AbortSignal | null = null;

  readonly #handleAbort = (): void => this.notify();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Ends the current wait, if there is one. */
  notify(): void {
    this.#endWait?.();
  }

  /** Waits until notified, until `delayMs` have passed or until `signal` is aborted. Never rejects. */
  async wait(delayMs: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted) {
      return;
    }
    this.#listen(signal);
    await new Promise<void>((resolve) => {
      const cancel: CancelTimer = this.#clock.startTimer(delayMs, end);
      this.#endWait = end;
      function end(): void {
        cancel();
        resolve();
      }
    });
    this.#endWait = null;
  }

  /** Ends the current wait, and stops listening to the signal of the last one. */
  close(): void {
    this.notify();
    this.#signal?.removeEventListener('abort', this.#handleAbort);
    this.#signal = null;
  }

  #listen(signal: AbortSignal): void {
    if (signal !== this.#signal) {
      this.#signal?.removeEventListener('abort', this.#handleAbort);
      signal.addEventListener('abort', this.#handleAbort, { once: true });
      this.#signal = signal;
    }
  }
}
