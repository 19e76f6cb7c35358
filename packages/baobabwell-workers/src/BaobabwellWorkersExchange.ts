import type { Task, TaskOutcome } from './BaobabwellWorkersClient';
import type { Dispatcher } from 'undici';

type Headers = Record<string, string | string[] | undefined>;

const HTTP_CONFLICT = 409;
const HTTP_FIRST_SERVER_ERROR = 500;

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
 * Follows one HTTP exchange from the first byte to the last. It knows whether a byte of the
 * request may have left, and accepts an answer only if it is whole and carries the task's own
 * identifier.
 */
export class TaskExchange implements Dispatcher.DispatchHandler {
  readonly #taskId: string;

  readonly #maxBytes: number;

  readonly #canStart: () => boolean;

  readonly #resolve: (outcome: TaskOutcome) => void;

  readonly #chunks: Buffer[] = [];

  #controller: Dispatcher.DispatchController | null = null;

  #headers: Headers = {};

  #status = 0;

  #receivedBytes = 0;

  #abortCause: string | null = null;

  constructor(
    { id, canStart }: Pick<Task, 'id' | 'canStart'>,
    maxBytes: number,
    resolve: (outcome: TaskOutcome) => void,
  ) {
    this.#taskId = id;
    this.#canStart = canStart;
    this.#maxBytes = maxBytes;
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

  /** Called before the first byte is written; what is aborted here was never sent. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#controller !== null) {
      // A second start would send the request again.
      this.#abortCause ??= 'the connection was lost';
    } else if (!this.#canStart()) {
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

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#receivedBytes += chunk.length;
    if (this.#receivedBytes > this.#maxBytes) {
      this.abort('the answer is too large');
      return;
    }
    this.#chunks.push(chunk);
  }

  onResponseEnd(): void {
    this.#resolve(this.#buildOutcome(Buffer.concat(this.#chunks)));
  }

  onResponseError(_controller: Dispatcher.DispatchController | null, error: Error): void {
    const cause = this.#abortCause ?? error.message;
    this.#resolve({ kind: this.#controller === null ? 'not-sent' : 'lost', cause });
  }

  #buildOutcome(body: Buffer): TaskOutcome {
    if (getHeader(this.#headers, 'task-id') !== this.#taskId) {
      return { kind: 'lost', cause: 'the answer belongs to another task' };
    }
    if (this.#status === HTTP_CONFLICT) {
      return { kind: 'rejected', code: parseRejection(body) };
    }
    if (this.#status >= HTTP_FIRST_SERVER_ERROR) {
      return { kind: 'failed' };
    }
    const contentType = getHeader(this.#headers, 'content-type') ?? 'application/octet-stream';
    return { kind: 'answered', answer: { status: this.#status, contentType, body } };
  }
}
