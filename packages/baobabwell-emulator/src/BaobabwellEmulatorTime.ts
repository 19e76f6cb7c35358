import type { CancelTimer } from '@baobabwell/utils';
import type { Clock as FakeClock } from '@sinonjs/fake-timers';

import { createClock } from '@sinonjs/fake-timers';

import { Clock } from '@baobabwell/utils';

const START_WALL_TIME_MS = Date.UTC(2026, 0, 5, 12);
const SETTLE_STEP_MS = 5;

/** Thrown when a promise does not settle within its limit of emulated time. */
export class NotSettledError extends Error {
  override readonly name = 'NotSettledError';
}

/** The clock of a whole emulated deployment; time advances only through calls of its methods. */
export class EmulatedTime extends Clock {
  readonly #fake: FakeClock = createClock(START_WALL_TIME_MS) as FakeClock;

  override getNow(): number {
    return this.#fake.now - START_WALL_TIME_MS;
  }

  override getWallTime(): number {
    return this.#fake.now;
  }

  override startTimer(delayMs: number, callback: () => void): CancelTimer {
    const timer = this.#fake.setTimeout(callback, Math.max(0, delayMs));
    return () => this.#fake.clearTimeout(timer);
  }

  /** Advances time and runs every timer that becomes due. */
  async advance(durationMs: number): Promise<void> {
    await this.#fake.tickAsync(durationMs);
  }

  /**
   * Advances time until a promise settles.
   *
   * @throws {NotSettledError} when it has not settled after `limitMs`.
   */
  async settle<T>(promise: Promise<T>, limitMs: number): Promise<T> {
    let isSettled = false;
    const markSettled = (): void => {
      isSettled = true;
    };
    promise.then(markSettled, markSettled);
    const endsAt = this.getNow() + limitMs;
    while (!isSettled && this.getNow() < endsAt) {
      await this.advance(SETTLE_STEP_MS);
    }
    if (!isSettled) {
      throw new NotSettledError(`the promise did not settle within ${limitMs} ms of emulated time`);
    }
    return promise;
  }
}

enum ProcessState {
  Running,
  Paused,
  Dead,
}

/** The clock of one emulated process, which can be paused, resumed and killed. */
export class ProcessClock extends Clock {
  readonly #time: EmulatedTime;

  #state = ProcessState.Running;

  #overdue: (() => void)[] = [];

  constructor(time: EmulatedTime) {
    super();
    this.#time = time;
  }

  override getNow(): number {
    return this.#time.getNow();
  }

  override getWallTime(): number {
    return this.#time.getWallTime();
  }

  override startTimer(delayMs: number, callback: () => void): CancelTimer {
    let isCancelled = false;
    const run = (): void => {
      if (!isCancelled) {
        callback();
      }
    };
    const cancel = this.#time.startTimer(delayMs, () => this.handleTimer(run));
    return () => {
      isCancelled = true;
      cancel();
    };
  }

  /** Returns true while the process is paused. */
  isPaused(): boolean {
    return this.#state === ProcessState.Paused;
  }

  /** Returns true after {@link kill}. */
  isDead(): boolean {
    return this.#state === ProcessState.Dead;
  }

  /** Suspends the process, as SIGSTOP does; time still advances. */
  pause(): void {
    if (this.#state === ProcessState.Running) {
      this.#state = ProcessState.Paused;
    }
  }

  /** Resumes a paused process; timers that became due in the meantime run now. */
  resume(): void {
    if (this.#state === ProcessState.Paused) {
      this.#state = ProcessState.Running;
      const overdue = this.#overdue;
      this.#overdue = [];
      overdue.forEach((run) => this.#time.startTimer(0, () => this.handleTimer(run)));
    }
  }

  /** Ends the process permanently; none of its timers runs again. */
  kill(): void {
    this.#state = ProcessState.Dead;
    this.#overdue = [];
  }

  /** Runs what is due, or keeps it while the process is paused. */
  protected handleTimer(run: () => void): void {
    if (this.#state === ProcessState.Running) {
      run();
    } else if (this.#state === ProcessState.Paused) {
      this.#overdue.push(run);
    }
  }
}
