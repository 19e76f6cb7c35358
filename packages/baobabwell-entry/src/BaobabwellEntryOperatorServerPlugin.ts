import type { Kernel, Plugin } from '@baobabwell/kernel';
import type { FastifyInstance } from 'fastify';

import Fastify from 'fastify';
import { z } from 'zod';

import { buildDigest } from '@baobabwell/calls';
import { EntityKind } from '@baobabwell/model';

import { parseAddress } from './BaobabwellEntryAddress';
import {
  ENTRY_SETTINGS,
  FRESHNESS,
  METRICS,
  OPERATOR_SERVICE,
  VIEW_STORE,
} from './BaobabwellEntryTokens';

const HTTP_UNAUTHORIZED = 401;
const HTTP_UNAVAILABLE = 503;
const BEARER = 'Bearer ';

const statementBody = z.object({ text: z.string().min(1) });

const MS_PER_SECOND = 1_000;

function findOperator(kernel: Kernel, header: string | undefined): string | null {
  if (!header?.startsWith(BEARER)) {
    return null;
  }
  const digest = buildDigest(header.slice(BEARER.length));
  const operators = kernel.getService(VIEW_STORE).get().list(EntityKind.Operator);
  return operators.find((operator) => operator.digest === digest)?.id ?? null;
}

function registerOperatorRoutes(kernel: Kernel, server: FastifyInstance): void {
  server.post('/v1/statements', async (request, reply) => {
    const operator = findOperator(kernel, request.headers.authorization);
    if (operator === null) {
      return reply.code(HTTP_UNAUTHORIZED).send({ kind: 'refused', code: 'operator-unknown' });
    }
    const { text } = statementBody.parse(request.body);
    return kernel.getService(OPERATOR_SERVICE).run(text, operator);
  });
}

function registerHealthRoutes(kernel: Kernel, server: FastifyInstance): void {
  const freshness = kernel.getService(FRESHNESS);
  const metrics = kernel.getService(METRICS);
  server.get('/livez', async () => ({ live: true }));
  server.get('/readyz', async (_request, reply) =>
    freshness.isCurrent()
      ? { ready: true }
      : reply.code(HTTP_UNAVAILABLE).send({ ready: false, cause: 'view-stale' }),
  );
  server.get('/metrics', async (_request, reply) => {
    metrics.viewAgeSeconds.set(freshness.getAge() / MS_PER_SECOND);
    return reply.type(metrics.registry.contentType).send(await metrics.registry.metrics());
  });
}

/** Serves operators, health checks and metrics over HTTP. */
export const operatorServerPlugin: Plugin = {
  name: 'operator server',
  register: () => () => {},
  async start(kernel) {
    const server = Fastify({ forceCloseConnections: true });
    registerOperatorRoutes(kernel, server);
    registerHealthRoutes(kernel, server);
    await server.listen(parseAddress(kernel.getService(ENTRY_SETTINGS).operators));
    kernel.lifecycle.add('operator server', async () => server.close());
  },
};
