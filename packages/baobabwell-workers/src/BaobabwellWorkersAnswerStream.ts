import type { Dispatcher } from 'undici';

import { Readable } from 'node:stream';

/**
 * Streams a large answer while it arrives, with backpressure from the consumer to the worker. A
 * truncated answer ends with an error, never with an ordinary end.
 */
export class AnswerStream extends Readable {
  /** Length declared by the worker, or `null` for a chunked answer. */
  readonly length: number | null;

  /** Resolves to whether the answer was complete. Never rejects. */
  readonly ended: Promise<boolean>;

  readonly #controller: Dispatcher.DispatchController;

  #resolveEnded: (isComplete: boolean) => void = () => {};

  #isComplete = false;

  #receivedBytes = 0;

  constructor(controller: Dispatcher.DispatchController, length: number | null) {
    super();
    this.#controller = controller;
    this.length = length;
    this.ended = new Promise((resolve) => {
      this.#resolveEnded = resolve;
    });
    // Without a listener, an error before the consumer attaches would be uncaught.
    this.on('error', () => {});
  }

  /** Returns the number of bytes received; it does not grow while the consumer reads nothing. */
  getReceivedBytes(): number {
    return this.#receivedBytes;
  }

  /** Adds a received chunk, and pauses the worker while the consumer lags behind. */
  add(chunk: Buffer): void {
    this.#receivedBytes += chunk.length;
    if (!this.push(chunk)) {
      this.#controller.pause();
    }
  }

  /** Ends the stream of a complete answer. */
  finish(): void {
    this.#isComplete = true;
    this.push(null);
    this.#resolveEnded(true);
  }

  override _read(): void {
    this.#controller.resume();
  }

  override _destroy(error: Error | null, callback: (error?: Error | null) => void): void {
    if (!this.#isComplete) {
      this.#resolveEnded(false);
      this.#controller.abort(error ?? new Error('the answer stream was destroyed'));
    }
    callback(error);
  }
}
