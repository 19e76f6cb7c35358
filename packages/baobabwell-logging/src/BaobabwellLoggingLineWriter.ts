import type { Clock } from '@baobabwell/utils';

import { formatEvent } from './BaobabwellLogging';

/** Maximum number of lines of one event per second; lines above it are dropped and counted. */
const MAX_LINES_PER_EVENT_PER_SECOND = 400;

/** Maximum number of bytes that wait for a slow reader; further lines are dropped. */
const MAX_PENDING_BYTES = 262_144;

/** The same limits for reserved events: ordinary lines cannot use what is above theirs. */
const MAX_RESERVED_LINES_PER_EVENT_PER_SECOND = 1_000;
const MAX_RESERVED_PENDING_BYTES = MAX_PENDING_BYTES + 131_072;

/** Time for which lines are buffered before they are written together, in ms. */
const FLUSH_DELAY_MS = 100;

/** Maximum size of one write, in bytes; a longer one may reach the reader of a pipe in part. */
const MAX_WRITE_BYTES = 4_096;

const RATE_WINDOW_MS = 1_000;

/** Destination of log lines; `write` must not block. */
export type LineOutput = {
  readonly write: (text: string) => unknown;
  /** Number of bytes that were written but not consumed yet. */
  readonly writableLength: number;
};

/** Writes log lines within a rate limit and a buffer limit; dropped lines are counted and reported. */
export class LineWriter {
  readonly #clock: Clock;

  readonly #output: LineOutput;

  readonly #isReserved: (event: string) => boolean;

  readonly #countByEvent = new Map<string, number>();

  readonly #droppedByEvent = new Map<string, number>();

  #buffer: string[] = [];

  /** Length of the buffered lines, in characters. */
  #bufferLength = 0;

  #windowStartMs = 0;

  #isFlushScheduled = false;

  /** @param isReserved decides whether lines of an event may use the reserve. */
  constructor(
    clock: Clock,
    output: LineOutput,
    isReserved: (event: string) => boolean = () => false,
  ) {
    this.#clock = clock;
    this.#output = output;
    this.#isReserved = isReserved;
  }

  /** Returns whether a line of an event is within the limits; otherwise counts it as dropped. */
  readonly admit = (event: string): boolean => {
    this.#startWindow();
    const count = (this.#countByEvent.get(event) ?? 0) + 1;
    this.#countByEvent.set(event, count);
    if (this.#isWithinLimits(event, count)) {
      return true;
    }
    this.#droppedByEvent.set(event, (this.#droppedByEvent.get(event) ?? 0) + 1);
    return false;
  };

  /** Buffers an admitted line and schedules a flush. */
  readonly write = (line: string): void => {
    this.#addToBuffer(line);
    if (!this.#isFlushScheduled) {
      this.#isFlushScheduled = true;
      this.#clock.startTimer(FLUSH_DELAY_MS, () => this.flush());
    }
  };

  /** Writes the buffered lines. */
  flush(): void {
    this.#isFlushScheduled = false;
    const lines = this.#buffer;
    this.#buffer = [];
    this.#bufferLength = 0;
    let part = '';
    let partBytes = 0;
    lines.forEach((line) => {
      const lineBytes = Buffer.byteLength(line);
      if (part !== '' && partBytes + lineBytes >= MAX_WRITE_BYTES) {
        this.#output.write(part);
        part = '';
        partBytes = 0;
      }
      part += `${line}\n`;
      partBytes += lineBytes + 1;
    });
    if (part !== '') {
      this.#output.write(part);
    }
  }

  #addToBuffer(line: string): void {
    this.#buffer.push(line);
    this.#bufferLength += line.length + 1;
  }

  #isWithinLimits(event: string, count: number): boolean {
    const pendingBytes = this.#countPendingBytes();
    if (count <= MAX_LINES_PER_EVENT_PER_SECOND && pendingBytes <= MAX_PENDING_BYTES) {
      return true;
    }
    return (
      count <= MAX_RESERVED_LINES_PER_EVENT_PER_SECOND &&
      pendingBytes <= MAX_RESERVED_PENDING_BYTES &&
      this.#isReserved(event)
    );
  }

  #countPendingBytes(): number {
    return this.#output.writableLength + this.#bufferLength;
  }

  #startWindow(): void {
    const nowMs = this.#clock.getNow();
    if (nowMs - this.#windowStartMs < RATE_WINDOW_MS) {
      return;
    }
    this.#windowStartMs = nowMs;
    this.#countByEvent.clear();
    if (this.#countPendingBytes() > MAX_RESERVED_PENDING_BYTES) {
      // The counts go on until there is room for their lines.
      return;
    }
    const at = new Date(this.#clock.getWallTime());
    this.#droppedByEvent.forEach((count, event) => {
      this.#addToBuffer(formatEvent(at, 'warn', 'log-lines-dropped', { dropped: event, count }));
    });
    this.#droppedByEvent.clear();
  }
}
