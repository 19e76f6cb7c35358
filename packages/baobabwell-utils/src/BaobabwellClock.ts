/** A pending timer; calling it cancels the timer. */
export type CancelTimer = () => void;

/**
 * Source of time for every package. Production code uses {@link SystemClock};
 * tests pass a clock whose time they advance themselves.
 */
export abstract class Clock {
  /** Returns the monotonic time in milliseconds; only differences are meaningful. */
  abstract getNow(): number;

  /** Returns the wall-clock time in milliseconds since the epoch. */
  abstract getWallTime(): number;

  /** Runs `callback` once after `delayMs`. */
  abstract startTimer(delayMs: number, callback: () => void): CancelTimer;

  /** Resolves after `delayMs`, or at once when `signal` is aborted. Never rejects. */
  async wait(delayMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const cancel = this.startTimer(delayMs, () => {
        signal?.removeEventListener('abort', onAbort);
        resolve();
      });
      function onAbort(): void {
        cancel();
        resolve();
      }
      signal?.addEventListener('abort', onAbort, { once: true });
    });
  }
}

/** The clock of the running process. */
export class SystemClock extends Clock {
  override getNow(): number {
    return performance.now();
  }

  override getWallTime(): number {
    return Date.now();
  }

  override startTimer(delayMs: number, callback: () => void): CancelTimer {
    const timer = setTimeout(callback, delayMs);
    return () => clearTimeout(timer);
  }
}

/** Runs `callback` at an interval, counted from its end; returns a function that stops this. */
export function startRepeatedTimer(
  clock: Clock,
  intervalMs: number,
  callback: () => void,
): CancelTimer {
  let cancelTimer: CancelTimer;
  const startNext = (): void => {
    cancelTimer = clock.startTimer(intervalMs, () => {
      callback();
      startNext();
    });
  };
  startNext();
  return () => cancelTimer();
}

/** One moment on both clocks of a process, in ms. */
export type ClockReading = { readonly monotonicMs: number; readonly wallMs: number };

export function readClocks(clock: Clock): ClockReading {
  return { monotonicMs: clock.getNow(), wallMs: clock.getWallTime() };
}

/** Returns the moment that lies some time after another, in ms. */
export function addTime({ monotonicMs, wallMs }: ClockReading, ms: number): ClockReading {
  return { monotonicMs: monotonicMs + ms, wallMs: wallMs + ms };
}

/**
 * Returns the time since a moment, in ms, by the clock that ran further: the monotonic clock stands still
 * while a process is suspended.
 */
export function getElapsedMs(clock: Clock, { monotonicMs, wallMs }: ClockReading): number {
  return Math.max(clock.getNow() - monotonicMs, clock.getWallTime() - wallMs);
}
