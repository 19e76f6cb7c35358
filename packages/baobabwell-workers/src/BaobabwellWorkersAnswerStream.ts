import type { Dispatcher } from 'undici';

import { Readable } from 'node:stream';

/**
 * A large answer while it arrives. The worker is read only as fast as the consumer takes the
 * bytes. A cut answer ends with an error, never with an ordinary end.
 */
export class AnswerStream extends Readable {
  /** Length that the worker declared, or `null` when the answer has an end marker instead. */
  readonly length: number | null;

  /** Resolves to whether the answer was whole. Never rejects. */
  readonly ended: Promise<boolean>;

  readonly #controller: Dispatcher.DispatchController;

  #resolveEnded: (isWhole: boolean) => void = () => {};

  #isWhole = false;

  #receivedBytes = 0;

  constructor(controller: Dispatcher.DispatchController, length: number | null) {
    super();
    this.#controller = controller;
    this.length = length;
    this.ended = new Promise((resolve) => {
      this.#resolveEnded = resolve;
    });
    // A consumer that has not come yet must not make the error an uncaught one.
    this.on('error', () => {});
  }

  /** Bytes that came from the worker; it stands still while the consumer takes none. */
  getReceivedBytes(): number {
    return this.#receivedBytes;
  }

  /** Adds what arrived, and stops the worker while the consumer is behind. */
  add(chunk: Buffer): void {
    this.#receivedBytes += chunk.length;
    if (!this.push(chunk)) {
      this.#controller.pause();
    }
  }

  /** Ends the answer as whole. */
  finish(): void {
    this.#isWhole = true;
    this.push(null);
    this.#resolveEnded(true);
  }

  override _read(): void {
    this.#controller.resume();
  }

  override _destroy(error: Error | null, callback: (error?: Error | null) => void): void {
    if (!this.#isWhole) {
      this.#resolveEnded(false);
      this.#controller.abort(error ?? new Error('the answer is not wanted any more'));
    }
    callback(error);
  }
}
