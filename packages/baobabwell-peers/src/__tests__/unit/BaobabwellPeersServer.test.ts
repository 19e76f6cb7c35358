import type { AnyTRPCRouter } from '@trpc/server';
import type { FastifyInstance } from 'fastify';
import type { AddressInfo } from 'node:net';

import { createTRPCClient } from '@trpc/client';
import { expect } from 'earl';
import { z } from 'zod';

import { buildPeerServer, createPeerRouter, HttpPeerConnector, peerProcedure } from '../../index';

const SECRET = 'secret';

const router = createPeerRouter({
  nested: createPeerRouter({
    double: peerProcedure.input(z.number()).query(({ input }) => 2 * input),
  }),
  append: peerProcedure.input(z.array(z.string())).mutation(({ input }) => [...input, 'end']),
  forget: peerProcedure.input(z.string()).mutation(() => undefined),
  findNothing: peerProcedure.query(() => null),
  fail: peerProcedure.query(() => {
    throw new Error('the store does not answer');
  }),
});

describe('peer server', () => {
  let server: FastifyInstance;
  let connector: HttpPeerConnector;

  function createClient(secret: string) {
    connector = new HttpPeerConnector(secret);
    const { port } = server.server.address() as AddressInfo;
    const link = connector.createLink<typeof router & AnyTRPCRouter>(`127.0.0.1:${port}`);
    return createTRPCClient<typeof router>({ links: [link] });
  }

  beforeEach(async () => {
    server = await buildPeerServer(router, SECRET);
    await server.listen({ host: '127.0.0.1', port: 0 });
  });

  afterEach(async () => {
    await connector.close();
    await server.close();
  });

  it('answers queries and mutations, also those that return nothing', async () => {
    const client = createClient(SECRET);
    expect(await client.nested.double.query(21)).toEqual(42);
    expect(await client.append.mutate(['begin'])).toEqual(['begin', 'end']);
    await client.forget.mutate('all');
    expect(await client.findNothing.query()).toEqual(null);
  });

  it('tells the caller why a request failed', async () => {
    const client = createClient(SECRET);
    await expect(client.fail.query()).toBeRejectedWith('the store does not answer');
    await expect(client.nested.double.query('x' as never)).toBeRejectedWith('expected number');
    await expect((client as never as { none: typeof client.fail }).none.query()).toBeRejectedWith(
      'No "query"-procedure on path "none"',
    );
  });

  it('refuses an input that cannot be read, and a wrong secret', async () => {
    const response = await server.inject({
      url: '/peers/nested.double?input=%7B',
      headers: { 'peer-secret': SECRET },
    });
    expect(response.statusCode).toEqual(400);
    await expect(createClient('guess').findNothing.query()).toBeRejected();
  });
});
