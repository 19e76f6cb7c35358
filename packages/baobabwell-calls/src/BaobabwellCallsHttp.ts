import type { CallRequest, CallResult } from './BaobabwellCalls';
import type { CallService } from './BaobabwellCallsService';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';

import Fastify from 'fastify';
import { randomUUID } from 'node:crypto';
import { z } from 'zod';

import { registerRawBodyParser, REQUEST_HEADER_TIMEOUTS } from '@baobabwell/http';
import { Outcome, PriorityClass } from '@baobabwell/model';

import {
  applyOutcomeHeaders,
  handleClientError,
  registerErrorReplies,
  sendWithoutAnswer,
} from './BaobabwellCallsHttpErrors';

const BODY_LIMIT_BYTES = 1024 * 1024;
const HEADER_LIMIT_BYTES = 16 * 1024;
const REQUEST_TIMEOUT_MS = 30_000;

const IDLE_SOCKET_TIMEOUT_MS = 120_000;
const MAX_TIMEOUT_MS = 24 * 60 * 60 * 1_000;
const MAX_IDEMPOTENCY_KEY_LENGTH = 255;
const BEARER_PREFIX = 'Bearer ';

const pathParametersSchema = z.object({ queue: z.string() });
const callHeadersSchema = z.object({
  authorization: z.string().startsWith(BEARER_PREFIX).optional(),
  'content-type': z.string().default('application/octet-stream'),
  'call-timeout-ms': z.coerce.number().int().positive().max(MAX_TIMEOUT_MS).optional(),
  'call-priority': z.enum(PriorityClass).default(PriorityClass.Normal),
  'call-repeatable': z.enum(['yes', 'no']).default('no'),
  'idempotency-key': z.string().min(1).max(MAX_IDEMPOTENCY_KEY_LENGTH).optional(),
});

/**
 * Parses a call from its HTTP request.
 *
 * @throws {z.ZodError} with all findings when headers are invalid.
 */
export function parseCall(request: FastifyRequest): CallRequest {
  const { queue } = pathParametersSchema.parse(request.params);
  const headers = callHeadersSchema.parse(request.headers);
  return {
    id: randomUUID(),
    queue,
    secret: headers.authorization?.slice(BEARER_PREFIX.length) ?? null,
    priority: headers['call-priority'],
    timeoutMs: headers['call-timeout-ms'] ?? null,
    isRepeatable: headers['call-repeatable'] === 'yes',
    idempotencyKey: headers['idempotency-key'] ?? null,
    contentType: headers['content-type'],
    body: (request.body as Buffer | undefined) ?? Buffer.alloc(0),
  };
}

/**
 * Sends the result of a call: the outcome in the headers and, without an answer, also in the body.
 */
async function sendResult(
  reply: FastifyReply,
  callId: string,
  result: CallResult,
): Promise<FastifyReply> {
  const { outcome, answer } = result;
  reply.header('call-id', callId);
  if (outcome !== Outcome.Completed || answer === null) {
    return sendWithoutAnswer(reply, result, { callId });
  }
  applyOutcomeHeaders(reply, result);
  reply.code(answer.status).header('content-type', answer.contentType);
  if (answer.stream !== null) {
    // The headers are sent before the answer is complete, so only a connection reset can report a
    // truncated answer.
    if (answer.stream.length !== null) {
      reply.header('content-length', answer.stream.length);
    }
    return reply.send(answer.stream);
  }
  return reply.send(
    Buffer.from(answer.body.buffer, answer.body.byteOffset, answer.body.byteLength),
  );
}

/** Callback invoked for each ended call. */
export type CallObserver = (request: CallRequest, result: CallResult, durationMs: number) => void;

/** Certificate and private key of a server, in PEM format. */
export type ServerCredentials = { readonly cert: string; readonly key: string };

function createServer(credentials: ServerCredentials | null): FastifyInstance {
  const limits = {
    maxHeaderSize: HEADER_LIMIT_BYTES,
    ...REQUEST_HEADER_TIMEOUTS,
  };
  const options = {
    bodyLimit: BODY_LIMIT_BYTES,
    requestTimeout: REQUEST_TIMEOUT_MS,
    connectionTimeout: IDLE_SOCKET_TIMEOUT_MS,
    forceCloseConnections: 'idle' as const,
    return503OnClosing: false,
    clientErrorHandler: handleClientError,
  };
  const server =
    credentials === null
      ? Fastify({ ...options, http: limits })
      : (Fastify({
          ...options,
          https: { ...limits, ...credentials },
        }) as unknown as FastifyInstance);
  registerRawBodyParser(server);
  registerErrorReplies(server);
  return server;
}

/**
 * Builds the HTTP server for callers; starting to listen and closing it is left to the caller of
 * this function.
 */
export function buildCallServer(
  service: CallService,
  observe: CallObserver,
  credentials: ServerCredentials | null = null,
): FastifyInstance {
  const server = createServer(credentials);
  server.post('/v1/queues/:queue/calls', async (request, reply) => {
    const call = parseCall(request);
    const abandoned = new AbortController();
    const startedAt = performance.now();
    reply.raw.once('close', () => {
      // Skips the abort, which is expensive, once the answer was sent.
      if (!reply.raw.writableFinished) {
        abandoned.abort();
      }
    });
    const result = await service.run(call, abandoned.signal);
    observe(call, result, performance.now() - startedAt);
    return sendResult(reply, call.id, result);
  });
  return server;
}
