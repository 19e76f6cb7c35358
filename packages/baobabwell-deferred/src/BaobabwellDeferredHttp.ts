import type { Work } from './BaobabwellDeferred';
import type { DeferredGate } from './BaobabwellDeferredGate';
import type { AcceptReply, DeferredService } from './BaobabwellDeferredService';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';

import { z } from 'zod';

import { parseCall, sendWithoutAnswer } from '@baobabwell/calls';
import { Outcome } from '@baobabwell/model';

import { MAX_LOOKUP_WAIT_MS } from './BaobabwellDeferredConstants';

const HTTP_OK = 200;
const HTTP_ACCEPTED = 202;
const HTTP_UNAUTHORIZED = 401;
const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;
const HTTP_UNAVAILABLE = 503;
const RETRY_AFTER_SECONDS = '1';
const BEARER = 'Bearer ';
const MAX_CANCELLATIONS = 5_000;

/** Value of the `call-outcome` header while the work has no outcome. */
const OUTCOME_PENDING = 'pending';

const workParameters = z.object({ id: z.string().min(1) });
const lookupQuery = z.object({
  waitMs: z.coerce.number().int().min(0).max(MAX_LOOKUP_WAIT_MS).default(0),
});
const jsonText = z.string().transform((text, context): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    context.addIssue({ code: 'custom', message: 'is not JSON', path: ['body'] });
    return z.NEVER;
  }
});
const cancellationBody = jsonText.pipe(
  z.object({ ids: z.array(z.string().min(1)).min(1).max(MAX_CANCELLATIONS) }),
);

/** Finds the team that a key belongs to, or `null`. */
export type FindTeam = (secret: string | null) => string | null;

/** Returns the bearer secret of a request, or `null`. */
function getSecret(request: FastifyRequest): string | null {
  const header = request.headers.authorization;
  return header?.startsWith(BEARER) ? header.slice(BEARER.length) : null;
}

function buildDescription({
  id,
  queue,
  state,
  acceptedAt,
  deadlineAt,
  endedAt,
  result,
}: Work): unknown {
  return {
    workId: id,
    queue,
    state,
    acceptedAt: new Date(acceptedAt).toISOString(),
    deadlineAt: new Date(deadlineAt).toISOString(),
    endedAt: endedAt === null ? null : new Date(endedAt).toISOString(),
    outcome: result?.outcome ?? null,
    reason: result?.reason ?? null,
  };
}

async function sendUnavailable(reply: FastifyReply, outcome: Outcome): Promise<FastifyReply> {
  return reply
    .code(HTTP_UNAVAILABLE)
    .headers({ 'call-outcome': outcome, 'retry-after': RETRY_AFTER_SECONDS })
    .send({ outcome, reason: 'store-unavailable' });
}

/** Sends the reply to an acceptance. */
async function sendAcceptReply(reply: FastifyReply, accepted: AcceptReply): Promise<FastifyReply> {
  switch (accepted.kind) {
    case 'accepted':
      return reply
        .code(HTTP_ACCEPTED)
        .headers({ 'call-outcome': OUTCOME_PENDING, location: `/v1/work/${accepted.work.id}` })
        .send(buildDescription(accepted.work));
    case 'key-reused':
      return reply
        .code(HTTP_CONFLICT)
        .header('call-outcome', Outcome.NotRun)
        .send({ outcome: Outcome.NotRun, reason: 'idempotency-key-reused' });
    case 'unavailable':
      return sendUnavailable(reply, Outcome.NotRun);
    case 'unknown':
      return reply
        .code(HTTP_UNAVAILABLE)
        .headers({ 'call-outcome': Outcome.Unknown, location: `/v1/work/${accepted.id}` })
        .send({ outcome: Outcome.Unknown, reason: 'store-unavailable', workId: accepted.id });
  }
}

async function sendWork(
  reply: FastifyReply,
  service: DeferredService,
  work: Work,
): Promise<FastifyReply> {
  reply.headers({
    'call-outcome': work.result?.outcome ?? OUTCOME_PENDING,
    'work-state': work.state,
  });
  const answer = await service.readAnswer(work);
  if (answer === undefined) {
    return reply.code(HTTP_UNAVAILABLE).send({ reason: 'store-unavailable' });
  }
  return answer === null
    ? reply.code(HTTP_OK).send(buildDescription(work))
    : reply
        .code(work.result?.status ?? HTTP_OK)
        .header('content-type', work.result?.contentType ?? 'application/octet-stream')
        .send(Buffer.from(answer));
}

/** Registers a hook that answers calls of deferred queues before the route of immediate calls. */
export function registerDeferredCalls(server: FastifyInstance, gate: DeferredGate): void {
  server.addHook('preHandler', async (request, reply) => {
    const { queue } = request.params as { readonly queue?: string };
    if (queue === undefined || !gate.isDeferred(queue)) {
      return undefined;
    }
    const accepted = await gate.add(parseCall(request));
    return accepted.kind === 'refused'
      ? sendWithoutAnswer(reply, accepted.result)
      : sendAcceptReply(reply, accepted);
  });
}

/** Registers the routes through which callers look up, await and cancel their deferred work. */
export function registerWorkRoutes(
  server: FastifyInstance,
  service: DeferredService,
  findTeam: FindTeam,
): void {
  const authenticateTeam = async (
    request: FastifyRequest,
    reply: FastifyReply,
  ): Promise<string | null> => {
    const team = findTeam(getSecret(request));
    if (team === null) {
      await reply.code(HTTP_UNAUTHORIZED).send({ reason: 'key-refused' });
    }
    return team;
  };
  server.get('/v1/work/:id', async (request, reply) => {
    const team = await authenticateTeam(request, reply);
    if (team === null) {
      return reply;
    }
    const { id } = workParameters.parse(request.params);
    const { waitMs } = lookupQuery.parse(request.query);
    const disconnected = new AbortController();
    reply.raw.once('close', () => disconnected.abort());
    const found = await service.find(id, team, waitMs, disconnected.signal);
    if (found.kind === 'found') {
      return sendWork(reply, service, found.work);
    }
    return found.kind === 'not-found'
      ? reply.code(HTTP_NOT_FOUND).send({ reason: 'not-found' })
      : reply.code(HTTP_UNAVAILABLE).send({ reason: 'store-unavailable' });
  });
  server.post('/v1/work/cancellations', async (request, reply) => {
    const team = await authenticateTeam(request, reply);
    if (team === null) {
      return reply;
    }
    const { ids } = cancellationBody.parse(String(request.body));
    return { results: Object.fromEntries(await service.cancel(ids, team)) };
  });
}
