import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import { Duplex } from 'node:stream';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Most bytes that the parser is given of one connection in a turn of the event loop. */
const TURN_BYTES = 8_192;

/** Size of a read from a socket, in bytes. A paused socket may keep one more. */
const READ_BYTES = 65_536;

/** Memory of a header that is not complete, for each byte of it, in bytes. */
const BYTES_PER_HEADER_BYTE = 3;

/** Bytes of a request that are read after its answer; a client then notices the answer although it still sends. */
const MAX_DISCARDED_BYTES = 1_048_576;

/** Time for which a client that sends more may read its answer before the connection is closed, in ms. */
const LINGER_MS = 1_000;

/** Reads that cannot be mistaken for a submission. */
const READ_METHOD = Buffer.from('GET ');

type OpenRequest = { readonly request: IncomingMessage; readonly response: ServerResponse };

/** Finds the end of the first header, in bytes; the parser takes an empty line with or without a carriage return. */
function findHeaderEnd(bytes: Buffer): number | null {
  let lineEnd = bytes.indexOf(LINE_FEED);
  while (lineEnd >= 0) {
    const next = bytes[lineEnd + 1] === CARRIAGE_RETURN ? lineEnd + 2 : lineEnd + 1;
    if (bytes[next] === LINE_FEED) {
      return next + 1;
    }
    lineEnd = bytes.indexOf(LINE_FEED, lineEnd + 1);
  }
  return null;
}

/** Learns what a connection keeps. */
export type ConnectionOwner = {
  /** The connection keeps this many bytes in memory. */
  readonly setBytes: (connection: ClientConnection, bytes: number) => void;
  /** The connection began to wait for its client anew. */
  readonly recordWaiting: (connection: ClientConnection) => void;
  readonly remove: (connection: ClientConnection) => void;
};

/**
 * A connection of a client between its socket and the HTTP parser. The parser is given the next request only once
 * the one before it is answered; until then its bytes stay in the socket, and the client has to wait.
 */
export class ClientConnection extends Duplex {
  readonly #socket: Socket;

  readonly #owner: ConnectionOwner;

  /** Requests without a complete answer, the oldest first. */
  #open: readonly OpenRequest[] = [];

  /** Bytes that the parser was not given yet. */
  #unparsed: Buffer | null = null;

  #hasEnded = false;

  #isFeedScheduled = false;

  /** False while the reader of this stream takes no more. */
  #isWanted = false;

  #headerBytes = 0;

  #bodyBytes = 0;

  #isReadMethod = false;

  /** A request that was answered before all of it was received. */
  #discarded: IncomingMessage | null = null;

  #discardedBytes = 0;

  #lingerTimer: NodeJS.Timeout | null = null;

  #callCount = 0;

  constructor(socket: Socket, owner: ConnectionOwner) {
    super();
    this.#socket = socket;
    this.#owner = owner;
    socket.on('data', (chunk: Buffer) => this.#receive(chunk));
    socket.on('end', () => {
      this.#hasEnded = true;
      this.#feed();
    });
    socket.on('error', (error) => this.destroy(error));
    socket.on('close', () => this.destroy());
    socket.on('timeout', () => this.emit('timeout'));
  }

  /** True while a call of this connection is under way; such a connection does not give way. */
  get hasCalls(): boolean {
    return this.#callCount > 0;
  }

  /** True if the request that could not be parsed can only be a read. */
  get isReadMethod(): boolean {
    return this.#isReadMethod;
  }

  /** True if the last request was answered before all of it was received. */
  get isDiscarding(): boolean {
    return this.#discarded !== null;
  }

  /** Records that a call begins; returns a function that records its end. */
  startCall(): () => void {
    this.#callCount += 1;
    return () => {
      this.#callCount -= 1;
      if (this.#callCount === 0) {
        this.#owner.recordWaiting(this);
      }
    };
  }

  /** Records a request that the parser found. */
  recordRequest(request: IncomingMessage, response: ServerResponse): void {
    this.#headerBytes = 0;
    const open = { request, response };
    this.#open = [...this.#open, open];
    response.once('close', () => this.#recordAnswered(open));
  }

  /** Records the memory of the body that is being received. */
  setBodyBytes(bytes: number): void {
    this.#bodyBytes = bytes;
    this.#reportBytes();
  }

  /** Closes the connection once what was written is sent. The HTTP server calls it after the last answer. */
  destroySoon(): void {
    this.end();
    if (this.writableFinished) {
      this.destroy();
    } else {
      this.once('finish', () => this.destroy());
    }
  }

  /** Sets the time without any bytes after which `timeout` is emitted, in ms. The HTTP server calls it. */
  setTimeout(timeoutMs: number, callback?: () => void): this {
    this.#socket.setTimeout(timeoutMs);
    if (callback !== undefined) {
      this.once('timeout', callback);
    }
    return this;
  }

  override _read(): void {
    this.#isWanted = true;
    this.#scheduleFeed();
  }

  override _write(
    chunk: Buffer,
    _encoding: BufferEncoding,
    done: (error?: Error | null) => void,
  ): void {
    this.#socket.write(chunk, done);
  }

  override _final(done: (error?: Error | null) => void): void {
    this.#socket.end(done);
  }

  override _destroy(error: Error | null, done: (error?: Error | null) => void): void {
    if (this.#lingerTimer !== null) {
      clearTimeout(this.#lingerTimer);
    }
    this.#unparsed = null;
    this.#socket.destroy();
    this.#owner.remove(this);
    done(error);
  }

  #receive(chunk: Buffer): void {
    this.#unparsed = this.#unparsed === null ? chunk : Buffer.concat([this.#unparsed, chunk]);
    this.#feed();
    if (this.#unparsed !== null) {
      this.#socket.pause();
    }
    this.#reportBytes();
  }

  #scheduleFeed(): void {
    if (this.#unparsed !== null && !this.#isFeedScheduled) {
      this.#isFeedScheduled = true;
      setImmediate(() => {
        this.#isFeedScheduled = false;
        this.#feed();
        this.#reportBytes();
      });
    }
  }

  /** Returns true if the parser may be given more: no request waits for its answer, or the last one is incomplete. */
  #canFeed(): boolean {
    const last = this.#open.at(-1);
    return (
      this.#isWanted && !this.destroyed && this.#lingerTimer === null && !last?.request.complete
    );
  }

  /** Gives the parser what it may be given in this turn. */
  #feed(): void {
    let leftBytes = TURN_BYTES;
    while (this.#unparsed !== null && leftBytes > 0 && this.#canFeed()) {
      leftBytes -= this.#feedPart(this.#unparsed, leftBytes);
    }
    if (this.#unparsed !== null) {
      if (this.#canFeed()) {
        this.#scheduleFeed();
      }
    } else if (this.#hasEnded) {
      this.push(null);
    } else if (this.#socket.isPaused()) {
      this.#socket.resume();
    }
  }

  /** Gives the parser bytes up to the end of a header, so that it finds one request at a time. */
  #feedPart(unparsed: Buffer, maxBytes: number): number {
    const size = findHeaderEnd(unparsed.subarray(0, maxBytes)) ?? maxBytes;
    const part = unparsed.subarray(0, size);
    this.#unparsed = size < unparsed.length ? unparsed.subarray(size) : null;
    this.#countPart(part);
    this.#isWanted = this.push(part);
    return part.length;
  }

  #countPart(part: Buffer): void {
    if (this.#discarded?.complete === true) {
      this.#discarded = null;
    }
    if (this.#discarded !== null) {
      this.#discardedBytes += part.length;
      if (this.#discardedBytes > MAX_DISCARDED_BYTES) {
        // Closing at once would reset the connection, and the client might never read its answer.
        this.#lingerTimer = setTimeout(() => this.destroy(), LINGER_MS);
      }
    } else if (this.#open.length === 0) {
      if (this.#headerBytes === 0) {
        this.#isReadMethod = part.subarray(0, READ_METHOD.length).equals(READ_METHOD);
      }
      this.#headerBytes += part.length;
    }
  }

  #recordAnswered(answered: OpenRequest): void {
    this.#open = this.#open.filter((open) => open !== answered);
    if (!answered.request.complete) {
      this.#discarded = answered.request;
      this.#discardedBytes = 0;
    }
    this.#owner.recordWaiting(this);
    this.#scheduleFeed();
  }

  #reportBytes(): void {
    if (!this.destroyed) {
      const unparsed = this.#unparsed === null ? 0 : this.#unparsed.length + READ_BYTES;
      const header = this.#headerBytes * BYTES_PER_HEADER_BYTE;
      this.#owner.setBytes(this, unparsed + header + this.#bodyBytes);
    }
  }
}
