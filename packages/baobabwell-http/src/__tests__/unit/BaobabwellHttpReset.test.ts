import type { AddressInfo, Socket } from 'node:net';

import { expect } from 'earl';
import { createServer } from 'node:net';
import { Agent } from 'undici';

import { createConnector } from '../../index';

const CONNECT_TIMEOUT_MS = 1_000;
const WAIT_MS = 50;

async function wait(): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, WAIT_MS);
  });
}

describe('connections to a server that does not answer', () => {
  // Guards against ONE: an order that a partition holds up arrives after its sender has given it up.
  it('are reset when a call over them is given up, so that nothing of it is delivered later', async () => {
    const sockets: Socket[] = [];
    const events: string[] = [];
    const server = createServer((socket) => {
      // Nothing is read: what the caller sends stays in the buffers of both sides.
      socket.pause();
      socket.on('error', (error: NodeJS.ErrnoException) => events.push(error.code ?? ''));
      socket.on('end', () => events.push('end'));
      sockets.push(socket);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const agent = new Agent({ connect: createConnector(CONNECT_TIMEOUT_MS) });
    const abort = new AbortController();
    const call = agent.request({
      origin: `http://127.0.0.1:${port}`,
      method: 'POST',
      path: '/order',
      body: 'x'.repeat(1_000),
      signal: abort.signal,
    });
    const failed = call.then(
      () => false,
      () => true,
    );
    await wait();
    abort.abort();
    expect(await failed).toEqual(true);
    await wait();
    sockets.forEach((socket) => socket.resume());
    await wait();
    expect(events).toEqual(['ECONNRESET']);
    await agent.close();
    server.close();
  });
});
