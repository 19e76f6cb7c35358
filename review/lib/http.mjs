/** A small JSON server and client on loopback for the stand-ins. */
import { createServer, request } from 'node:http';

function readBody(message) {
  return new Promise((resolve, reject) => {
    const chunks = [];
    message.on('data', (chunk) => chunks.push(chunk));
    message.on('end', () => resolve(Buffer.concat(chunks).toString('utf8')));
    message.on('error', reject);
  });
}

function parse(text) {
  try {
    return text === '' ? null : JSON.parse(text);
  } catch {
    return null;
  }
}

/**
 * Starts a JSON server. The handler returns `{ status, body }`, or `null` for a call that gets no answer.
 */
export async function listen(host, port, handle) {
  const sockets = new Set();
  const server = createServer((message, response) => {
    void readBody(message)
      .then(async (text) => {
        const url = new URL(message.url, 'http://stand-in');
        const call = {
          method: message.method,
          path: url.pathname,
          query: url.searchParams,
          headers: message.headers,
          body: parse(text),
        };
        const reply = await handle(call);
        if (reply !== null && !response.destroyed) {
          const body = reply.body === undefined ? '' : JSON.stringify(reply.body);
          response.writeHead(reply.status, { 'content-type': 'application/json' });
          response.end(body);
        }
      })
      .catch(() => response.destroy());
  });
  server.keepAliveTimeout = 120_000;
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => socket.destroy());
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return {
    port: server.address().port,
    close: () => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}

/** Sends one call; resolves to `{ status, body }`, or to `null` when no complete answer arrives. */
export function send(options) {
  const { host, port, method, path, headers = {}, body, timeoutMs = 3_000 } = options;
  return new Promise((resolve) => {
    const text = body === undefined ? '' : JSON.stringify(body);
    const call = request(
      {
        host,
        port,
        method,
        path,
        agent: false,
        headers: {
          ...headers,
          ...(text === ''
            ? {}
            : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }),
        },
      },
      (message) => {
        readBody(message).then(
          (reply) => resolve({ status: message.statusCode, body: parse(reply) }),
          () => resolve(null),
        );
      },
    );
    call.setTimeout(timeoutMs, () => call.destroy(new Error('no answer')));
    call.on('error', () => resolve(null));
    call.end(text);
  });
}
