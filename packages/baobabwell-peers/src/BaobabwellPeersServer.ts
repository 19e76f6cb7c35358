import type { AnyTRPCRouter } from '@trpc/server';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';

import { getTRPCErrorFromUnknown, getTRPCErrorShape, TRPCError } from '@trpc/server';
import { getHTTPStatusCodeFromError } from '@trpc/server/http';
import Fastify from 'fastify';
import { timingSafeEqual } from 'node:crypto';

import { REQUEST_HEADER_TIMEOUTS } from '@baobabwell/http';

import { PEER_PATH, PEER_SECRET_HEADER } from './BaobabwellPeersConstants';
import { callPeerProcedure } from './BaobabwellPeersTrpc';

const HTTP_UNAUTHORIZED = 401;
const MAX_PARAMETER_LENGTH = 1_000;

type PeerRequest = FastifyRequest<{
  Params: { readonly path: string };
  Querystring: { readonly input?: string };
}>;

function matchesSecret(received: unknown, secret: string): boolean {
  const actual = Buffer.from(typeof received === 'string' ? received : '');
  const expected = Buffer.from(secret);
  return actual.length === expected.length && timingSafeEqual(actual, expected);
}

function parseInput(request: PeerRequest): unknown {
  if (request.method === 'POST') {
    return request.body;
  }
  const { input } = request.query;
  try {
    return input === undefined ? undefined : JSON.parse(input);
  } catch (cause) {
    throw new TRPCError({ code: 'PARSE_ERROR', cause });
  }
}

/** Calls a procedure and sends its result as an HTTP link of trpc reads it. */
async function answerRequest(
  router: AnyTRPCRouter,
  request: PeerRequest,
  reply: FastifyReply,
): Promise<FastifyReply> {
  const { path } = request.params;
  const type = request.method === 'POST' ? 'mutation' : 'query';
  try {
    const data = await callPeerProcedure(router, {
      path,
      type,
      getInput: () => parseInput(request),
    });
    return await reply.send({ result: { data } });
  } catch (cause) {
    const error = getTRPCErrorFromUnknown(cause);
    const { _config: config } = router._def;
    const shape: unknown = getTRPCErrorShape({
      config,
      error,
      type,
      path,
      input: undefined,
      ctx: {},
    });
    return reply.code(getHTTPStatusCodeFromError(error)).send({ error: shape });
  }
}

/**
 * Builds the server for other entries. The code that calls this starts listening and closes it. Procedures
 * are called directly: the adapters of trpc create web requests and responses, which cost several times
 * as much as the call.
 */
export async function buildPeerServer(
  router: AnyTRPCRouter,
  secret: string,
): Promise<FastifyInstance> {
  const server = Fastify({
    forceCloseConnections: true,
    http: REQUEST_HEADER_TIMEOUTS,
    routerOptions: { maxParamLength: MAX_PARAMETER_LENGTH },
  });
  server.addHook('onRequest', async (request, reply) =>
    matchesSecret(request.headers[PEER_SECRET_HEADER], secret)
      ? undefined
      : reply.code(HTTP_UNAUTHORIZED).send(),
  );
  server.route({
    method: ['GET', 'POST'],
    url: `${PEER_PATH}/:path`,
    handler: async (request, reply) => answerRequest(router, request as PeerRequest, reply),
  });
  return server;
}
