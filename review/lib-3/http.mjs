import { createServer } from 'node:http';
import { connect } from 'node:net';

/** Opens a JSON server on a loopback address; `handle` returns `{ status, body }`. */
export async function openServer(host, port, handle) {
  const sockets = new Set();
  const server = createServer((message, response) => {
    const chunks = [];
    message.on('data', (chunk) => chunks.push(chunk));
    message.on('error', () => {});
    message.on('end', async () => {
      const url = new URL(message.url, 'http://stand-in');
      const bytes = Buffer.concat(chunks);
      const body = bytes.length > 0 ? JSON.parse(bytes.toString('utf8')) : {};
      const call = {
        method: message.method,
        path: url.pathname,
        query: url.searchParams,
        headers: message.headers,
        body,
        bytes: bytes.length,
      };
      const reply = await handle(call);
      if (reply !== null && !response.destroyed) {
        response.writeHead(reply.status, { 'content-type': 'application/json' });
        response.end(JSON.stringify(reply.body));
      }
    });
  });
  server.keepAliveTimeout = 120_000;
  server.on('connection', (socket) => {
    socket.setNoDelay(true);
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
    /** Ends as a process that is killed: connections are reset, later ones refused. */
    close: () => {
      server.close();
      sockets.forEach((socket) => socket.resetAndDestroy());
    },
  };
}

/** Sends one call of a client on a new connection; resolves to its status (0: none) and body. */
export async function callOnce({ host, port, method, path, headers, body = '', timeoutMs }) {
  return new Promise((resolve) => {
    let text = '';
    const socket = connect({ host, port, noDelay: true });
    const finish = (status, answer) => {
      socket.destroy();
      resolve({ status, body: answer });
    };
    const timer = setTimeout(() => finish(0, null), timeoutMs);
    const end = (status, answer) => {
      clearTimeout(timer);
      finish(status, answer);
    };
    socket.on('connect', () => {
      const lines = [
        `${method} ${path} HTTP/1.1`,
        ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
        ...(body === ''
          ? []
          : ['content-type: application/json', `content-length: ${Buffer.byteLength(body)}`]),
      ];
      socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`);
    });
    socket.on('data', (chunk) => {
      text += chunk.toString('utf8');
      const split = text.indexOf('\r\n\r\n');
      const length = Number(/^content-length: (\d+)/im.exec(text)?.[1] ?? 0);
      if (split >= 0 && Buffer.byteLength(text.slice(split + 4)) >= length) {
        const payload = text.slice(split + 4);
        end(Number(text.split(' ')[1]), payload === '' ? null : JSON.parse(payload));
      }
    });
    socket.on('error', () => end(0, null));
    socket.on('close', () => end(0, null));
  });
}
