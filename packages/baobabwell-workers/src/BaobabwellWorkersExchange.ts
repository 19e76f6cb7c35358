import type { Task, TaskOutcome } from './BaobabwellWorkersClient';
import type { Dispatcher } from 'undici';

import { AnswerStream } from './BaobabwellWorkersAnswerStream';

type Headers = Record<string, string | string[] | undefined>;

const HTTP_CONFLICT = 409;
const MIN_SERVER_ERROR_STATUS = 500;
const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;
const MAX_STREAMED_BYTES = 1024 * 1024 * 1024;
const MIN_STREAMED_BYTES = 256 * 1024;

function getHeader(headers: Headers, name: string): string | null {
  const value = headers[name];
  return typeof value === 'string' ? value : null;
}

function parseRejection(body: Buffer): string {
  try {
    const { code } = JSON.parse(body.toString('utf8')) as { code?: unknown };
    return typeof code === 'string' ? code : 'unspecified';
  } catch {
    return 'unspecified';
  }
}

/**
 * Handles one HTTP exchange of a task. Tracks whether a byte of the request may have been sent, and
 * accepts an answer only if it is complete.
 */
export class TaskExchange implements Dispatcher.DispatchHandler {
  readonly #task: Pick<Task, 'id' | 'canStart' | 'isStreamable'>;

  readonly #resolve: (outcome: TaskOutcome) => void;

  readonly #chunks: Buffer[] = [];

  #controller: Dispatcher.DispatchController | null = null;

  #headers: Headers = {};

  #status = 0;

  #receivedBytes = 0;

  #stream: AnswerStream | null = null;

  #abortCause: string | null = null;

  constructor(
    task: Pick<Task, 'id' | 'canStart' | 'isStreamable'>,
    resolve: (outcome: TaskOutcome) => void,
  ) {
    this.#task = task;
    this.#resolve = resolve;
  }

  /** Abandons the exchange and closes its connection. */
  abort(cause: string): void {
    this.#abortCause ??= cause;
    if (this.#controller === null) {
      this.#resolve({ kind: 'not-sent', cause });
    } else {
      this.#controller.abort(new Error(cause));
    }
  }

  /** Called before the first byte is written; a request aborted here was never sent. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#controller !== null) {
      // A second start would send the request twice.
      this.#abortCause ??= 'the connection was lost';
    } else if (!this.#task.canStart()) {
      this.#abortCause ??= 'the lease or the view is too old';
    }
    if (this.#abortCause !== null) {
      controller.abort(new Error(this.#abortCause));
      return;
    }
    this.#controller = controller;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: Headers,
  ): void {
    this.#status = statusCode;
    this.#headers = headers;
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#receivedBytes += chunk.length;
    const limit = this.#task.isStreamable ? MAX_STREAMED_BYTES : MAX_BUFFERED_BYTES;
    if (this.#receivedBytes > limit) {
      this.abort('the answer is too large');
    } else if (this.#stream !== null) {
      this.#stream.add(chunk);
    } else {
      this.#chunks.push(chunk);
      this.#startStreamIfLarge(controller);
    }
  }

  onResponseEnd(): void {
    if (this.#stream === null) {
      this.#resolve(this.#buildOutcome(Buffer.concat(this.#chunks)));
    } else {
      this.#stream.finish();
    }
  }

  onResponseError(_controller: Dispatcher.DispatchController | null, error: Error): void {
    const cause = this.#abortCause ?? error.message;
    if (this.#stream === null) {
      this.#resolve({ kind: this.#controller === null ? 'not-sent' : 'lost', cause });
    } else {
      this.#stream.destroy(error);
    }
  }

  /** Starts to stream a large answer once its header shows that it belongs to this task. */
  #startStreamIfLarge(controller: Dispatcher.DispatchController): void {
    const canStream =
      this.#task.isStreamable &&
      this.#receivedBytes >= MIN_STREAMED_BYTES &&
      this.#status < MIN_SERVER_ERROR_STATUS &&
      this.#status !== HTTP_CONFLICT &&
      getHeader(this.#headers, 'task-id') === this.#task.id;
    if (!canStream) {
      return;
    }
    const length = getHeader(this.#headers, 'content-length');
    const stream = new AnswerStream(controller, length === null ? null : Number(length));
    this.#stream = stream;
    this.#chunks.splice(0).forEach((chunk) => stream.add(chunk));
    this.#resolve(this.#buildOutcome(Buffer.alloc(0), stream));
  }

  #buildOutcome(body: Buffer, stream: AnswerStream | null = null): TaskOutcome {
    const taskId = getHeader(this.#headers, 'task-id');
    const isOwn = taskId === this.#task.id;
    if (isOwn && this.#status === HTTP_CONFLICT) {
      return { kind: 'rejected', code: parseRejection(body) };
    }
    if (isOwn && this.#status >= MIN_SERVER_ERROR_STATUS) {
      return { kind: 'failed' };
    }
    const contentType = getHeader(this.#headers, 'content-type') ?? 'application/octet-stream';
    return {
      kind: 'answered',
      answer: { taskId, status: this.#status, contentType, body, stream },
    };
  }
}
