/** A JSON server on loopback for the stand-ins. */
import { createServer } from 'node:http';

const KEEP_ALIVE_TIMEOUT_MS = 120_000;

async function readBody(message) {
  const chunks = [];
  for await (const chunk of message) {
    chunks.push(chunk);
  }
  const text = Buffer.concat(chunks).toString('utf8');
  return { body: text === '' ? {} : JSON.parse(text), bytes: Buffer.byteLength(text) };
}

/**
 * Opens a server; `handle` gets the method, path, query, headers and body of a call and returns its status
 * and body.
 */
export async function openServer(host, port, handle) {
  const sockets = new Set();
  const server = createServer(async (message, response) => {
    try {
      const { pathname, searchParams } = new URL(message.url ?? '/', 'http://stand-in');
      const reply = await handle({
        method: message.method,
        path: pathname,
        query: searchParams,
        headers: message.headers,
        ...(await readBody(message)),
      });
      response.writeHead(reply.status, { 'content-type': 'application/json' });
      response.end(JSON.stringify(reply.body));
    } catch (error) {
      if (!response.destroyed && !response.headersSent) {
        response.writeHead(400).end(String(error));
      }
    }
  });
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
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
