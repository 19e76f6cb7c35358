import type { JsonObject } from './http';
import type { Socket } from 'node:net';

import { connect } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';

const HEADER_END = '\r\n\r\n';

/** Time for which a client waits for an answer, in ms. */
export const CALL_TIMEOUT_MS = 3_000;

/** How a call ended. */
export enum CallEnd {
  Answered = 'answered',
  /** The connection ended after the whole request had been sent. */
  Cut = 'cut',
  /** The connection ended, or was never made, before the whole request had been sent. */
  NotSent = 'not-sent',
  TimedOut = 'timed-out',
}

/** A call, and how it ended. */
export type CallRecord = {
  readonly end: CallEnd;
  readonly status: number;
  readonly body: JsonObject;
  /** Monotonic time at which the last byte was sent, in ms. */
  readonly sentAtMs: number;
  /** Monotonic time of the end, in ms. */
  readonly endedAtMs: number;
};

/** A call to send. */
export type CallRequest = {
  readonly method: string;
  readonly path: string;
  readonly body: string;
  /** Number of pieces in which the request is sent. */
  readonly pieces: number;
  /** Time between two pieces, in ms. */
  readonly pauseMs: number;
};

type Answer = { readonly status: number; readonly text: string; readonly isLast: boolean };

/** Parses a whole answer; returns null while bytes are missing. */
function parseAnswer(text: string): Answer | null {
  const headerLength = text.indexOf(HEADER_END);
  if (headerLength < 0) {
    return null;
  }
  const header = text.slice(0, headerLength);
  const length = Number(/^content-length: (\d+)/im.exec(header)?.[1] ?? 0);
  const body = text.slice(headerLength + HEADER_END.length);
  if (body.length < length) {
    return null;
  }
  return {
    status: Number(header.split(' ')[1]),
    text: body,
    isLast: /^connection: close/im.test(header),
  };
}

function formatRequest({ method, path, body }: CallRequest, host: string, key: string): string {
  const lines = [
    `${method} ${path} HTTP/1.1`,
    `host: ${host}`,
    `authorization: Bearer ${key}`,
    `baobabwell-request-deadline: ${CALL_TIMEOUT_MS}`,
    ...(body === '' ? [] : ['content-type: application/json']),
    ...(body === '' ? [] : [`content-length: ${body.length}`]),
  ];
  return `${lines.join('\r\n')}${HEADER_END}${body}`;
}

function divideText(text: string, pieces: number): readonly string[] {
  const size = Math.ceil(text.length / pieces);
  return Array.from({ length: pieces }, (_, index) =>
    text.slice(index * size, (index + 1) * size),
  ).filter((piece) => piece !== '');
}

/** A connection to one process that is kept and used until the process ends it. */
export class KeptConnection {
  readonly #address: { readonly host: string; readonly port: number };

  #socket: Socket | null = null;

  #received = '';

  #notify: () => void = () => {};

  constructor(address: { readonly host: string; readonly port: number }) {
    this.#address = address;
  }

  close(): void {
    this.#socket?.destroy();
    this.#socket = null;
  }

  /** Returns true until the process has ended the connection. */
  isOpen(): boolean {
    return this.#socket !== null && !this.#socket.destroyed && !this.#socket.readableEnded;
  }

  /** Sends a call, on a new connection if the last one ended, and waits for its end. */
  async call(request: CallRequest, host: string, key: string): Promise<CallRecord> {
    const socket = await this.#open();
    const pieces = divideText(formatRequest(request, host, key), request.pieces);
    let sentAtMs = Infinity;
    for (const [index, piece] of pieces.entries()) {
      if (index > 0) {
        await wait(request.pauseMs);
      }
      if (socket === null || socket.destroyed || socket.readableEnded) {
        break;
      }
      socket.write(piece);
      sentAtMs = index === pieces.length - 1 ? performance.now() : Infinity;
    }
    return this.#waitForEnd(socket, sentAtMs);
  }

  async #open(): Promise<Socket | null> {
    if (this.isOpen()) {
      return this.#socket;
    }
    const socket = connect({ ...this.#address, noDelay: true });
    this.#socket = socket;
    this.#received = '';
    socket.on('data', (chunk: Buffer) => {
      this.#received += chunk.toString('latin1');
      this.#notify();
    });
    socket.on('error', () => socket.destroy());
    socket.on('end', () => this.#notify());
    socket.on('close', () => this.#notify());
    return new Promise((resolve) => {
      socket.once('connect', () => resolve(socket));
      socket.once('close', () => resolve(null));
    });
  }

  async #waitForEnd(socket: Socket | null, sentAtMs: number): Promise<CallRecord> {
    const untilMs = Math.min(sentAtMs, performance.now()) + CALL_TIMEOUT_MS;
    for (;;) {
      const answer = parseAnswer(this.#received);
      const isOver = socket === null || socket.destroyed || socket.readableEnded;
      if (answer !== null) {
        this.#received = '';
        if (answer.isLast || sentAtMs === Infinity) {
          this.close();
        }
        const body = answer.text === '' ? {} : (JSON.parse(answer.text) as JsonObject);
        return this.#record(CallEnd.Answered, sentAtMs, answer.status, body);
      }
      if (isOver || sentAtMs === Infinity) {
        this.close();
        return this.#record(sentAtMs === Infinity ? CallEnd.NotSent : CallEnd.Cut, sentAtMs);
      }
      if (performance.now() >= untilMs) {
        this.close();
        return this.#record(CallEnd.TimedOut, sentAtMs);
      }
      await this.#waitForBytes(untilMs - performance.now());
    }
  }

  async #waitForBytes(maxMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, Math.max(1, maxMs));
      this.#notify = () => {
        clearTimeout(timer);
        resolve();
      };
    });
    this.#notify = () => {};
  }

  #record(end: CallEnd, sentAtMs: number, status = 0, body: JsonObject = {}): CallRecord {
    return { end, status, body, sentAtMs, endedAtMs: performance.now() };
  }
}
