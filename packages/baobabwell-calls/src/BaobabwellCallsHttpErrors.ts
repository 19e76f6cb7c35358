import type { CallResult } from './BaobabwellCalls';
import type { FastifyInstance, FastifyReply } from 'fastify';
import type { Socket } from 'node:net';

import { z } from 'zod';

import { CallReason } from './BaobabwellCalls';
import { RETRY_AFTER_MS } from './BaobabwellCallsConstants';
import { STATUS_BY_REASON } from './BaobabwellCallsHttpStatus';
import { createNotRun, createUnknown } from './BaobabwellCallsResults';

const MS_PER_SECOND = 1_000;
const HTTP_TOO_LARGE = 413;
const HTTP_BAD_REQUEST = 400;
const HTTP_INTERNAL = 500;

/** A problem in a request and the field that has it. */
type RequestFinding = {
  readonly place: string;
  readonly problem: string;
};

/** Sets the headers of a reply that carry outcome, reason and retry delay. */
export function applyOutcomeHeaders(
  reply: FastifyReply,
  { outcome, reason, isRepeatSafe, retryAfterMs }: CallResult,
): void {
  reply.headers({
    'call-outcome': outcome,
    'call-reason': reason,
    'call-repeat-safe': isRepeatSafe ? 'yes' : 'no',
  });
  if (retryAfterMs !== null) {
    reply.header('retry-after', String(Math.ceil(retryAfterMs / MS_PER_SECOND)));
  }
}

/** Sends a result that has no answer from a worker. */
export async function sendWithoutAnswer(
  reply: FastifyReply,
  result: CallResult,
  extra: Readonly<Record<string, unknown>> = {},
): Promise<FastifyReply> {
  const { outcome, reason, isRepeatSafe, retryAfterMs } = result;
  applyOutcomeHeaders(reply, result);
  return reply
    .code(STATUS_BY_REASON[reason])
    .send({ outcome, reason, repeatSafe: isRepeatSafe, retryAfterMs, ...extra });
}

function buildRequestFindings(error: unknown): readonly RequestFinding[] {
  if (error instanceof z.ZodError) {
    return error.issues.map(({ path, message }) => ({ place: path.join('.'), problem: message }));
  }
  return [{ place: 'request', problem: error instanceof Error ? error.message : String(error) }];
}

function buildErrorResult(error: unknown): CallResult {
  const { statusCode } = error as { readonly statusCode?: number };
  if (statusCode === HTTP_TOO_LARGE) {
    return createNotRun(CallReason.BodyTooLarge, null);
  }
  const isClientError =
    error instanceof z.ZodError ||
    (statusCode !== undefined && statusCode >= HTTP_BAD_REQUEST && statusCode < HTTP_INTERNAL);
  return isClientError
    ? createNotRun(CallReason.BadRequest, null)
    : createUnknown(CallReason.InternalError, false);
}

/** Answers input that is not valid HTTP, for which Fastify sends no reply with an outcome. */
export function handleClientError(_error: Error, socket: Socket): void {
  if (!socket.writable || socket.bytesWritten > 0) {
    // Part of an answer may already have been sent. An ordinary end of the connection could be
    // mistaken for the end of that answer, but a reset cannot.
    socket.destroy();
    return;
  }
  const { outcome, reason, isRepeatSafe } = createNotRun(CallReason.BadRequest, null);
  const body = JSON.stringify({ outcome, reason, repeatSafe: isRepeatSafe, retryAfterMs: null });
  socket.end(
    [
      'HTTP/1.1 400 Bad Request',
      'content-type: application/json; charset=utf-8',
      `content-length: ${Buffer.byteLength(body)}`,
      `call-outcome: ${outcome}`,
      `call-reason: ${reason}`,
      'call-repeat-safe: yes',
      'connection: close',
      '',
      body,
    ].join('\r\n'),
  );
}

/** Registers hooks that put outcome and reason into every reply that no route handler sends. */
export function registerErrorReplies(server: FastifyInstance): void {
  let isClosing = false;
  server.addHook('preClose', async () => {
    isClosing = true;
  });
  server.addHook('onRequest', async (_request, reply) => {
    if (!isClosing) {
      return undefined;
    }
    reply.header('connection', 'close');
    return sendWithoutAnswer(reply, createNotRun(CallReason.EntryStopping, RETRY_AFTER_MS));
  });
  server.setNotFoundHandler(async (_request, reply) =>
    sendWithoutAnswer(reply, createNotRun(CallReason.NotFound, null)),
  );
  server.setErrorHandler(async (error, _request, reply) =>
    sendWithoutAnswer(reply, buildErrorResult(error), { findings: buildRequestFindings(error) }),
  );
}
