import type { AnyTRPCRouter } from '@trpc/server';

import { createTRPCClient } from '@trpc/client';
import { expect } from 'earl';
import { once } from 'node:events';
import { setImmediate as waitForNextTurn, setTimeout as wait } from 'node:timers/promises';
import { Worker } from 'node:worker_threads';

import { createPeerRouter, HttpPeerConnector, peerProcedure } from '../../index';

/** Longer than the timeout of a request. */
const PAUSE_MS = 1_500;

/** Longer than the idle timeouts by which connections used to be closed between two bursts. */
const BURST_PAUSE_MS = 5_000;

/** A peer that answers every request with 7, after 50 ms. */
const PEER_IN_THREAD = `
  const { createServer } = require('node:http');
  const { parentPort } = require('node:worker_threads');
  let connectionCount = 0;
  const server = createServer((_request, response) => {
    response.setHeader('content-type', 'application/json');
    setTimeout(() => response.end('{"result":{"data":7}}'), 50);
  });
  server.keepAliveTimeout = 60_000;
  server.on('connection', () => {
    connectionCount += 1;
  });
  parentPort.on('message', () => parentPort.postMessage(connectionCount));
  server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

const router = createPeerRouter({ count: peerProcedure.query(() => 0) });

describe('HttpPeerConnector on a busy process', () => {
  let thread: Worker;
  let connector: HttpPeerConnector;
  let requestCount: () => Promise<number>;

  /** Returns the number of connections that the peer has accepted. */
  async function countConnections(): Promise<number> {
    thread.postMessage('count');
    const [count] = (await once(thread, 'message')) as [number];
    return count;
  }

  beforeEach(async () => {
    thread = new Worker(PEER_IN_THREAD, { eval: true });
    const [port] = (await once(thread, 'message')) as [number];
    connector = new HttpPeerConnector('secret');
    const link = connector.createLink<typeof router & AnyTRPCRouter>(`127.0.0.1:${port}`);
    const client = createTRPCClient<typeof router>({ links: [link] });
    requestCount = async () => client.count.query();
  });

  afterEach(async () => {
    await connector.close();
    await thread.terminate();
  });

  function blockProcess(): void {
    const endMs = performance.now() + PAUSE_MS;
    while (performance.now() < endMs);
  }

  it('reads an answer that arrived while the process was busy until after the timeout', async () => {
    await requestCount();
    const count = requestCount();
    await waitForNextTurn();
    await waitForNextTurn();
    blockProcess();
    expect(await count).toEqual(7);
  });

  it('answers many requests at once over few connections, also after a pause', async () => {
    const counts = Array.from({ length: 40 }, async () => requestCount());
    expect(await Promise.all(counts)).toEqual(Array.from({ length: 40 }, () => 7));
    await wait(BURST_PAUSE_MS);
    expect(await requestCount()).toEqual(7);
    expect(await countConnections()).toEqual(4);
  });

  it('opens a connection although the process was busy for longer than the timeout', async () => {
    const count = requestCount();
    blockProcess();
    expect(await count).toEqual(7);
  });
});
