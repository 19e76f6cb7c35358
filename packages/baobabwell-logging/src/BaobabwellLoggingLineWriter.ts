import type { Clock } from '@baobabwell/utils';

import { formatEvent } from './BaobabwellLogging';

/** Lines of one event that are written in a second; more are only counted. */
const LINES_PER_SECOND = 400;

/** Bytes that may wait for a slow reader before lines are dropped. */
const MAX_PENDING_BYTES = 262_144;

/** Time for which lines gather before they are written together, in ms. */
const FLUSH_MS = 100;

const SECOND_MS = 1_000;

/** Where lines go; writing must not block. */
export type LineOutput = {
  readonly write: (text: string) => unknown;
  /** Bytes that were written and not taken yet. */
  readonly writableLength: number;
};

/** Writes log lines within a bound of volume; what is left out is counted and reported. */
export class LineWriter {
  readonly #clock: Clock;

  readonly #output: LineOutput;

  readonly #counts = new Map<string, number>();

  readonly #dropped = new Map<string, number>();

  #pending = '';

  #secondStartMs = 0;

  #isFlushDue = false;

  constructor(clock: Clock, output: LineOutput) {
    this.#clock = clock;
    this.#output = output;
  }

  /** Says whether a line of an event fits the bound of this second, or counts it as dropped. */
  readonly admit = (event: string): boolean => {
    this.#startSecond();
    const count = (this.#counts.get(event) ?? 0) + 1;
    this.#counts.set(event, count);
    const isFull = this.#output.writableLength + this.#pending.length > MAX_PENDING_BYTES;
    if (count > LINES_PER_SECOND || isFull) {
      this.#dropped.set(event, (this.#dropped.get(event) ?? 0) + 1);
      return false;
    }
    return true;
  };

  /** Takes a line that was admitted; it is written soon. */
  readonly write = (line: string): void => {
    this.#pending += `${line}\n`;
    if (!this.#isFlushDue) {
      this.#isFlushDue = true;
      this.#clock.startTimer(FLUSH_MS, () => this.flush());
    }
  };

  /** Writes what has gathered. */
  flush(): void {
    this.#isFlushDue = false;
    if (this.#pending !== '') {
      this.#output.write(this.#pending);
      this.#pending = '';
    }
  }

  #startSecond(): void {
    const nowMs = this.#clock.getNow();
    if (nowMs - this.#secondStartMs < SECOND_MS) {
      return;
    }
    this.#secondStartMs = nowMs;
    this.#counts.clear();
    const at = new Date(this.#clock.getWallTime());
    this.#dropped.forEach((count, event) => {
      this.#pending += `${formatEvent(at, 'warn', 'log-lines-dropped', { dropped: event, count })}\n`;
    });
    this.#dropped.clear();
  }
}
