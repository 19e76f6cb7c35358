import type { IncomingMessage } from 'node:http';

import { ClientConnection } from './BaobabwellConnectionLimitsConnection';

/** Size of the blocks into which bodies are received, in bytes. */
const BLOCK_BYTES = 16_384;

/** Most blocks that are kept for further bodies. */
const MAX_FREE_BLOCKS = 256;

/** How the reading of a body ended. */
export enum BodyEnd {
  Whole = 'whole',
  TooLarge = 'too-large',
  /** The connection ended first. */
  Cut = 'cut',
}

/** A body that was read, or why it was not. */
export type BodyRead =
  | { readonly end: BodyEnd.Whole; readonly body: Buffer }
  | { readonly end: BodyEnd.TooLarge | BodyEnd.Cut };

/** Returns the connection of a request; `null` if its server has no limits for connections. */
export function findConnection({ socket }: IncomingMessage): ClientConnection | null {
  const connection: unknown = socket;
  return connection instanceof ClientConnection ? connection : null;
}

/** Returns the size that a request announces for its body, in bytes; `null` if it announces none. */
function findAnnouncedBytes({ headers }: IncomingMessage): number | null {
  const { 'content-length': length } = headers;
  return length === undefined ? null : Number(length);
}

/** Blocks that are used again: memory of many bodies that are given up would be collected too late. */
const freeBlocks: Buffer[] = [];

/** Copies what is received into blocks, so that memory does not depend on the size of the pieces. */
class BlockBody {
  readonly #maxBytes: number;

  readonly #connection: ClientConnection | null;

  #blocks: Buffer[] = [];

  #length = 0;

  constructor(maxBytes: number, connection: ClientConnection | null) {
    this.#maxBytes = maxBytes;
    this.#connection = connection;
  }

  /** Appends bytes; returns false if they are too many. */
  append(chunk: Buffer): boolean {
    if (this.#length + chunk.length > this.#maxBytes) {
      return false;
    }
    let copied = 0;
    while (copied < chunk.length) {
      const offset = this.#length % BLOCK_BYTES;
      if (offset === 0) {
        this.#addBlock();
      }
      const size = chunk.copy(this.#blocks.at(-1) as Buffer, offset, copied);
      copied += size;
      this.#length += size;
    }
    return true;
  }

  /** Returns a copy of the whole body. */
  getBytes(): Buffer {
    return Buffer.concat(this.#blocks, this.#length);
  }

  /** Releases the blocks. */
  clear(): void {
    const kept = this.#blocks.slice(0, Math.max(0, MAX_FREE_BLOCKS - freeBlocks.length));
    freeBlocks.push(...kept);
    this.#blocks = [];
    this.#length = 0;
  }

  #addBlock(): void {
    this.#blocks.push(freeBlocks.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES));
    this.#connection?.setBodyBytes(this.#blocks.length * BLOCK_BYTES);
  }
}

/**
 * Reads the body of a request into blocks, which count towards the bytes of all clients. A body that is
 * announced or grows larger than `maxBytes` is not read; what is still sent of it is discarded.
 */
export async function readBody(request: IncomingMessage, maxBytes: number): Promise<BodyRead> {
  const announcedBytes = findAnnouncedBytes(request);
  if (announcedBytes !== null && announcedBytes > maxBytes) {
    return { end: BodyEnd.TooLarge };
  }
  const connection = findConnection(request);
  const body = new BlockBody(announcedBytes ?? maxBytes, connection);
  return new Promise((resolve) => {
    const finish = (read: BodyRead): void => {
      request.removeAllListeners('data');
      body.clear();
      resolve(read);
    };
    request.on('data', (chunk: Buffer) => {
      if (!body.append(chunk)) {
        connection?.setBodyBytes(0);
        finish({ end: BodyEnd.TooLarge });
      }
    });
    request.once('end', () => finish({ end: BodyEnd.Whole, body: body.getBytes() }));
    request.once('close', () => finish({ end: BodyEnd.Cut }));
    // The parser reports the error of the connection; the request is closed after it.
    request.once('error', () => finish({ end: BodyEnd.Cut }));
  });
}
