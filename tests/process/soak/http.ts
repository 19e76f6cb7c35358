import type { AddressInfo, Socket } from 'node:net';

import { createServer } from 'node:http';
import { setTimeout as wait } from 'node:timers/promises';

const KEEP_ALIVE_TIMEOUT_MS = 120_000;
const HTTP_BAD_REQUEST = 400;

/** A decoded JSON object. */
export type JsonObject = Record<string, unknown>;

/** A call of a stand-in. */
export type StandInCall = {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: NodeJS.Dict<string | string[]>;
  readonly body: JsonObject;
};

/** Answer of a stand-in. */
export type StandInReply = { readonly status: number; readonly body: JsonObject };

/** A JSON server on loopback. */
export type StandInServer = { readonly port: number; readonly close: () => void };

function parseObject(text: string): JsonObject {
  return text === '' ? {} : (JSON.parse(text) as JsonObject);
}

/** What happens to the answers of a stand-in. */
export type AnswerTrouble = {
  /** Returns the time by which an answer is sent later, in ms. */
  readonly getDelayMs: () => number;
  /** Returns true if an answer, and all that follows on its connection, is not delivered. */
  readonly isLost: () => boolean;
};

/** Opens a JSON server; the trouble at its time befalls each answer. */
export async function openServer(
  port: number,
  handle: (call: StandInCall) => Promise<StandInReply>,
  { getDelayMs, isLost }: AnswerTrouble = { getDelayMs: () => 0, isLost: () => false },
): Promise<StandInServer> {
  const sockets = new Set<Socket>();
  const silentSockets = new WeakSet<Socket>();
  const server = createServer(async (message, response) => {
    try {
      const chunks: Buffer[] = [];
      for await (const chunk of message) {
        chunks.push(chunk as Buffer);
      }
      const { pathname, searchParams } = new URL(message.url ?? '/', 'http://stand-in');
      const reply = await handle({
        method: message.method ?? '',
        path: pathname,
        query: searchParams,
        headers: message.headers,
        body: parseObject(Buffer.concat(chunks).toString('utf8')),
      });
      await wait(getDelayMs());
      if (silentSockets.has(message.socket) || isLost()) {
        silentSockets.add(message.socket);
        return;
      }
      response.writeHead(reply.status, { 'content-type': 'application/json' });
      response.end(JSON.stringify(reply.body));
    } catch (error) {
      // A caller that went away meanwhile gets no answer.
      if (!response.destroyed && !response.headersSent) {
        response.writeHead(HTTP_BAD_REQUEST).end(String(error));
      }
    }
  });
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => socket.destroy());
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    close: () => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}
