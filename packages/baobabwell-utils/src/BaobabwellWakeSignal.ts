import type { Clock } from './BaobabwellClock';

/** A wait that other code can end early. */
export class WakeSignal {
  readonly #clock: Clock;

  #endWait: (() => void) | null = null;

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
    await new Promise<void>((resolve) => {
      const cancel = this.#clock.startTimer(delayMs, end);
      const endWait = end;
      signal.addEventListener('abort', end, { once: true });
      this.#endWait = endWait;
      function end(): void {
        cancel();
        signal.removeEventListener('abort', end);
        resolve();
      }
    });
    this.#endWait = null;
  }
}
