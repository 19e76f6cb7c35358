import type { AnyTRPCRouter } from '@trpc/server';
import type { FastifyInstance } from 'fastify';

import { fastifyTRPCPlugin } from '@trpc/server/adapters/fastify';
import Fastify from 'fastify';
import { timingSafeEqual } from 'node:crypto';

import { PEER_PATH, PEER_SECRET_HEADER } from './BaobabwellPeersConstants';

const HTTP_UNAUTHORIZED = 401;
const MAX_PARAMETER_LENGTH = 1_000;

function matchesSecret(received: unknown, secret: string): boolean {
  const actual = Buffer.from(typeof received === 'string' ? received : '');
  const expected = Buffer.from(secret);
  return actual.length === expected.length && timingSafeEqual(actual, expected);
}

/** Builds the server for other entries. The code that calls this starts listening and closes it. */
export async function buildPeerServer(
  router: AnyTRPCRouter,
  secret: string,
): Promise<FastifyInstance> {
  const server = Fastify({
    forceCloseConnections: true,
    routerOptions: { maxParamLength: MAX_PARAMETER_LENGTH },
  });
  server.addHook('onRequest', async (request, reply) =>
    matchesSecret(request.headers[PEER_SECRET_HEADER], secret)
      ? undefined
      : reply.code(HTTP_UNAUTHORIZED).send(),
  );
  await server.register(fastifyTRPCPlugin, { prefix: PEER_PATH, trpcOptions: { router } });
  return server;
}
