import type { CallRequest, CallResult } from './BaobabwellCalls';
import type { CallService } from './BaobabwellCallsService';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';

import Fastify from 'fastify';
import { randomUUID } from 'node:crypto';
import { z } from 'zod';

import { Outcome, PriorityClass } from '@baobabwell/model';

import { CallReason } from './BaobabwellCalls';

const HTTP_BAD_REQUEST = 400;
const HTTP_UNAUTHORIZED = 401;
const HTTP_FORBIDDEN = 403;
const HTTP_NOT_FOUND = 404;
const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_BAD_GATEWAY = 502;
const HTTP_UNAVAILABLE = 503;
const HTTP_GATEWAY_TIMEOUT = 504;
const BODY_LIMIT_BYTES = 1024 * 1024;
const MS_PER_SECOND = 1_000;
const BEARER = 'Bearer ';

const STATUS_BY_REASON: Readonly<Record<CallReason, number>> = {
  [CallReason.Answered]: 200,
  [CallReason.UnknownQueue]: HTTP_NOT_FOUND,
  [CallReason.KeyMissing]: HTTP_UNAUTHORIZED,
  [CallReason.KeyRefused]: HTTP_UNAUTHORIZED,
  [CallReason.TeamNotAllowed]: HTTP_FORBIDDEN,
  [CallReason.TargetLeaving]: HTTP_UNAVAILABLE,
  [CallReason.ViewStale]: HTTP_UNAVAILABLE,
  [CallReason.QueueFull]: HTTP_TOO_MANY_REQUESTS,
  [CallReason.Deadline]: HTTP_GATEWAY_TIMEOUT,
  [CallReason.Cancelled]: HTTP_UNAVAILABLE,
  [CallReason.NoHost]: HTTP_UNAVAILABLE,
  [CallReason.EntryStopping]: HTTP_UNAVAILABLE,
  [CallReason.WorkFailed]: HTTP_BAD_GATEWAY,
  [CallReason.AnswerLost]: HTTP_BAD_GATEWAY,
  [CallReason.WorkerRejected]: HTTP_BAD_GATEWAY,
  [CallReason.WorkerUnreachable]: HTTP_UNAVAILABLE,
};

const parameters = z.object({ queue: z.string() });
const callHeaders = z.object({
  authorization: z.string().startsWith(BEARER).optional(),
  'content-type': z.string().default('application/octet-stream'),
  'call-timeout-ms': z.coerce.number().int().positive().optional(),
  'call-priority': z.enum(PriorityClass).default(PriorityClass.Normal),
  'call-repeatable': z.enum(['yes', 'no']).default('no'),
});

function parseCall(request: FastifyRequest): CallRequest {
  const { queue } = parameters.parse(request.params);
  const headers = callHeaders.parse(request.headers);
  return {
    id: randomUUID(),
    queue,
    secret: headers.authorization?.slice(BEARER.length) ?? null,
    priority: headers['call-priority'],
    timeoutMs: headers['call-timeout-ms'] ?? null,
    isRepeatable: headers['call-repeatable'] === 'yes',
    contentType: headers['content-type'],
    body: (request.body as Buffer | undefined) ?? Buffer.alloc(0),
  };
}

/** Writes the result of a call: the outcome is in the headers and, without an answer, in the body. */
async function sendResult(
  reply: FastifyReply,
  callId: string,
  { outcome, reason, isRepeatSafe, retryAfterMs, answer }: CallResult,
): Promise<FastifyReply> {
  reply.headers({
    'call-id': callId,
    'call-outcome': outcome,
    'call-reason': reason,
    'call-repeat-safe': isRepeatSafe ? 'yes' : 'no',
  });
  if (retryAfterMs !== null) {
    reply.header('retry-after', String(Math.ceil(retryAfterMs / MS_PER_SECOND)));
  }
  if (outcome === Outcome.Completed && answer !== null) {
    return reply
      .code(answer.status)
      .header('content-type', answer.contentType)
      .send(Buffer.from(answer.body.buffer, answer.body.byteOffset, answer.body.byteLength));
  }
  return reply
    .code(STATUS_BY_REASON[reason])
    .send({ callId, outcome, reason, repeatSafe: isRepeatSafe, retryAfterMs });
}

/** Told about each ended call. */
export type CallObserver = (request: CallRequest, result: CallResult, durationMs: number) => void;

/** Builds the HTTP server for callers; the caller of this function listens and closes. */
export function buildCallServer(service: CallService, observe: CallObserver): FastifyInstance {
  const server = Fastify({ bodyLimit: BODY_LIMIT_BYTES, forceCloseConnections: 'idle' });
  server.removeAllContentTypeParsers();
  server.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => {
    done(null, body);
  });
  server.setErrorHandler(async (error, _request, reply) => {
    const status = error instanceof z.ZodError ? HTTP_BAD_REQUEST : undefined;
    const message = error instanceof z.ZodError ? z.prettifyError(error) : String(error);
    const ownStatus = (error as { statusCode?: number }).statusCode;
    return reply
      .code(status ?? ownStatus ?? HTTP_UNAVAILABLE)
      .header('call-outcome', Outcome.NotRun)
      .send({ outcome: Outcome.NotRun, reason: 'bad-request', message });
  });
  server.post('/v1/queues/:queue/calls', async (request, reply) => {
    const call = parseCall(request);
    const abandoned = new AbortController();
    const startedAt = performance.now();
    reply.raw.once('close', () => abandoned.abort());
    const result = await service.run(call, abandoned.signal);
    observe(call, result, performance.now() - startedAt);
    return sendResult(reply, call.id, result);
  });
  return server;
}
