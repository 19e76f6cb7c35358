import type { ConnectionTable } from './BaobabwellConnectionLimitsTable';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import { STATUS_CODES } from 'node:http';

import { findConnection } from './BaobabwellConnectionLimitsBody';
import { ClientConnection } from './BaobabwellConnectionLimitsConnection';

const HTTP_BAD_REQUEST = 400;
const HTTP_REQUEST_TIMEOUT = 408;
const HTTP_TOO_LARGE = 413;
const HTTP_HEADERS_TOO_LARGE = 431;
const HTTP_GATEWAY_TIMEOUT = 504;

const STATUS_BY_ERROR: Readonly<Record<string, number>> = {
  ERR_HTTP_REQUEST_TIMEOUT: HTTP_REQUEST_TIMEOUT,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: HTTP_TOO_LARGE,
  HPE_HEADER_OVERFLOW: HTTP_HEADERS_TOO_LARGE,
};

/** Applies the limits of a table to all connections of a server. */
export function limitConnections(server: Server, table: ConnectionTable): void {
  const listeners = server.listeners('connection');
  server.removeAllListeners('connection');
  server.on('connection', (socket: Socket) => {
    const connection = table.open(socket);
    if (connection !== null) {
      listeners.forEach((listen) => {
        Reflect.apply(listen, server, [connection]);
      });
    }
  });
  server.prependListener('request', (request: IncomingMessage, response: ServerResponse) => {
    findConnection(request)?.recordRequest(request, response);
  });
}

/**
 * Returns the status for a request that could not be parsed. What it asked for is not known unless it was a read:
 * it may repeat a submission that was accepted, which must not be denied.
 */
function getErrorStatus(code: string | undefined, connection: ClientConnection): number {
  const status = STATUS_BY_ERROR[code ?? ''] ?? HTTP_BAD_REQUEST;
  const isTooLarge = status === HTTP_HEADERS_TOO_LARGE || status === HTTP_TOO_LARGE;
  return isTooLarge && !connection.isReadMethod ? HTTP_GATEWAY_TIMEOUT : status;
}

/**
 * Answers a request that could not be parsed, or was not received in time, and closes its connection. Nothing is
 * written where a client could take it for the answer to another request.
 */
export function answerClientError(
  { code }: NodeJS.ErrnoException,
  socket: Socket | ClientConnection,
): void {
  const isWritable = socket instanceof ClientConnection && socket.writable;
  if (!isWritable || socket.hasCalls || socket.isDiscarding || code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const status = getErrorStatus(code, socket);
  const body = JSON.stringify({ error: `the request was not read: ${code ?? 'unknown error'}` });
  const lines = [
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
    'connection: close',
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
  ];
  socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`);
  socket.destroySoon();
}
