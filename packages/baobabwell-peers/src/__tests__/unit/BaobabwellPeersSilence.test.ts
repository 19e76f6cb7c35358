import type { AnyTRPCRouter } from '@trpc/server';

import { createTRPCClient } from '@trpc/client';
import { expect } from 'earl';
import { once } from 'node:events';
import { setTimeout as wait } from 'node:timers/promises';
import { Worker } from 'node:worker_threads';

import { createPeerRouter, HttpPeerConnector, peerProcedure } from '../../index';

const CONNECTIONS = 4;

/** Time for which the peer is busy, in ms; longer than a silence takes, shorter than the timeout of a call. */
const BUSY_MS = 800;

/** Time within which a call on a new connection is answered on a busy machine, in ms. */
const ANSWER_MS = 500;

/** Time after which no probe is under way any more, in ms. */
const SETTLE_MS = 1_000;

/** A peer that answers probes at once, and calls with 7 after a delay. */
const PEER_IN_THREAD = `
  const { createServer } = require('node:http');
  const { parentPort } = require('node:worker_threads');
  const sockets = new Set();
  const silentSockets = new Set();
  let delayMs = 50;
  const server = createServer((request, response) => {
    if (silentSockets.has(request.socket)) {
      return;
    }
    response.setHeader('content-type', 'application/json');
    const isCall = request.headers['peer-secret'] !== undefined;
    setTimeout(() => response.end('{"result":{"data":7}}'), isCall ? delayMs : 0);
  });
  server.keepAliveTimeout = 60_000;
  server.on('connection', (socket) => sockets.add(socket));
  parentPort.on('message', ({ name, value }) => {
    if (name === 'silence') {
      sockets.forEach((socket) => silentSockets.add(socket));
    } else if (name === 'delay') {
      delayMs = value;
    }
    parentPort.postMessage(sockets.size);
    if (name === 'block') {
      const endMs = performance.now() + value;
      while (performance.now() < endMs);
    }
  });
  server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

const router = createPeerRouter({ count: peerProcedure.query(() => 0) });

describe('HttpPeerConnector and a peer that does not answer', () => {
  let thread: Worker;
  let connector: HttpPeerConnector;
  let renewals: number;
  let requestCount: () => Promise<number>;

  /** Sends a command to the peer; returns the number of connections that it has accepted. */
  async function command(name: string, value = 0): Promise<number> {
    thread.postMessage({ name, value });
    const [count] = (await once(thread, 'message')) as [number];
    return count;
  }

  async function requestCounts(): Promise<readonly number[]> {
    return Promise.all(Array.from({ length: CONNECTIONS }, async () => requestCount()));
  }

  beforeEach(async () => {
    thread = new Worker(PEER_IN_THREAD, { eval: true });
    const [port] = (await once(thread, 'message')) as [number];
    renewals = 0;
    connector = new HttpPeerConnector('secret', () => {
      renewals += 1;
    });
    const link = connector.createLink<typeof router & AnyTRPCRouter>(`127.0.0.1:${port}`);
    const client = createTRPCClient<typeof router>({ links: [link] });
    requestCount = async () => client.count.query();
    await requestCounts();
  });

  afterEach(async () => {
    await connector.close();
    await thread.terminate();
  });

  // Guards against a timeout for each connection: all went silent in the same moment.
  it('answers over new connections once a call and a probe on an open connection had no answer', async () => {
    await command('silence');
    await expect(requestCount()).toBeRejected();
    const sentAtMs = performance.now();
    expect(await requestCounts()).toEqual(Array.from({ length: CONNECTIONS }, () => 7));
    expect(performance.now() - sentAtMs < ANSWER_MS).toEqual(true);
    expect(renewals).toEqual(1);
  });

  it('keeps the connections to a peer that is only busy', async () => {
    const connectionCount = await command('block', BUSY_MS);
    expect(await requestCount()).toEqual(7);
    await wait(SETTLE_MS);
    await requestCounts();
    expect(renewals).toEqual(0);
    // A probe takes a connection of its own.
    expect((await command('count')) <= connectionCount + 1).toEqual(true);
  });

  it('keeps the connections to a peer whose call takes long', async () => {
    const connectionCount = await command('delay', BUSY_MS);
    expect(await requestCount()).toEqual(7);
    await wait(SETTLE_MS);
    await requestCounts();
    expect(renewals).toEqual(0);
    expect((await command('count')) <= connectionCount + 2).toEqual(true);
  });
});
