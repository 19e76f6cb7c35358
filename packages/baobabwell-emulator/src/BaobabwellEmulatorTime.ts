import type { CancelTimer } from '@baobabwell/utils';
import type { Clock as FakeClock } from '@sinonjs/fake-timers';

import { createClock } from '@sinonjs/fake-timers';

import { Clock } from '@baobabwell/utils';

const START_WALL_TIME_MS = Date.UTC(2026, 0, 5, 12);
const SETTLE_STEP_MS = 5;

/** Raised when something does not end within the emulated time that it was given. */
export class NotSettledError extends Error {
  override readonly name = 'NotSettledError';
}

/** The time of a whole emulated deployment; it moves only when told to. */
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

  /** Moves time forward, running every timer that falls due on the way. */
  async advance(durationMs: number): Promise<void> {
    await this.#fake.tickAsync(durationMs);
  }

  /**
   * Moves time forward until a promise settles.
   *
   * @throws {NotSettledError} when it has not settled after `limitMs`.
   */
  async settle<T>(promise: Promise<T>, limitMs: number): Promise<T> {
    let isSettled = false;
    const mark = (): void => {
      isSettled = true;
    };
    promise.then(mark, mark);
    const endsAt = this.getNow() + limitMs;
    while (!isSettled && this.getNow() < endsAt) {
      await this.advance(SETTLE_STEP_MS);
    }
    if (!isSettled) {
      throw new NotSettledError(`not settled after ${limitMs} ms`);
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
    const cancel = this.#time.startTimer(delayMs, () => this.#handleTimer(run));
    return () => {
      isCancelled = true;
      cancel();
    };
  }

  /** True while the process neither runs nor is dead. */
  isPaused(): boolean {
    return this.#state === ProcessState.Paused;
  }

  /** True after {@link kill}. */
  isDead(): boolean {
    return this.#state === ProcessState.Dead;
  }

  /** Stops the process without its knowledge; time goes on. */
  pause(): void {
    if (this.#state === ProcessState.Running) {
      this.#state = ProcessState.Paused;
    }
  }

  /** Lets a paused process go on; timers that fell due meanwhile run now. */
  resume(): void {
    if (this.#state === ProcessState.Paused) {
      this.#state = ProcessState.Running;
      const overdue = this.#overdue;
      this.#overdue = [];
      overdue.forEach((run) => this.#time.startTimer(0, () => this.#handleTimer(run)));
    }
  }

  /** Ends the process for good; none of its timers runs again. */
  kill(): void {
    this.#state = ProcessState.Dead;
    this.#overdue = [];
  }

  #handleTimer(run: () => void): void {
    if (this.#state === ProcessState.Running) {
      run();
    } else if (this.#state === ProcessState.Paused) {
      this.#overdue.push(run);
    }
  }
}
