import type { Credentials } from './BaobabwellEntryCertificates';
import type { Kernel, Plugin } from '@baobabwell/kernel';
import type { FastifyInstance } from 'fastify';

import Fastify from 'fastify';
import { timingSafeEqual } from 'node:crypto';
import { z } from 'zod';

import { buildDigest } from '@baobabwell/calls';
import { createServiceToken } from '@baobabwell/kernel';
import { registerMetricsRoutes } from '@baobabwell/metrics';
import { EntityKind } from '@baobabwell/model';

import { parseAddress } from './BaobabwellEntryAddress';
import { readCredentials, startCertificateReloader } from './BaobabwellEntryCertificates';
import { registerHealthRoutes } from './BaobabwellEntryHealth';
import {
  ENTRY_SETTINGS,
  METRICS,
  OPERATOR_SERVICE,
  READINESS,
  SETTINGS,
  VIEW_STORE,
} from './BaobabwellEntryTokens';

const HTTP_UNAUTHORIZED = 401;
const BEARER_PREFIX = 'Bearer ';

const statementSchema = z.object({
  text: z.string().min(1),
  seenVersion: z.number().int().nonnegative().nullable().default(null),
});
const completionQuerySchema = z.object({ text: z.string() });

function findOperator(kernel: Kernel, header: string | undefined): string | null {
  if (!header?.startsWith(BEARER_PREFIX)) {
    return null;
  }
  const digest = buildDigest(header.slice(BEARER_PREFIX.length));
  const operators = kernel.getService(VIEW_STORE).get().list(EntityKind.Operator);
  const found = operators.filter((operator) =>
    timingSafeEqual(Buffer.from(operator.digest), Buffer.from(digest)),
  );
  return found[0]?.id ?? null;
}

function registerOperatorRoutes(kernel: Kernel, server: FastifyInstance): void {
  server.post('/v1/statements', async (request, reply) => {
    const operator = findOperator(kernel, request.headers.authorization);
    if (operator === null) {
      return reply.code(HTTP_UNAUTHORIZED).send({ kind: 'refused', code: 'operator-unknown' });
    }
    const { text, seenVersion } = statementSchema.parse(request.body);
    return kernel.getService(OPERATOR_SERVICE).run(text, operator, { seenVersion });
  });
  server.get('/v1/completions', async (request, reply) => {
    if (findOperator(kernel, request.headers.authorization) === null) {
      return reply.code(HTTP_UNAUTHORIZED).send({ kind: 'refused', code: 'operator-unknown' });
    }
    const { text } = completionQuerySchema.parse(request.query);
    return { completions: kernel.getService(OPERATOR_SERVICE).listCompletions(text) };
  });
}

/** Holds the operator server, which can be built only after its credentials were read. */
class OperatorServer {
  #server: FastifyInstance | null = null;

  build(credentials: Credentials | null): FastifyInstance {
    const options = { forceCloseConnections: true };
    this.#server =
      credentials === null
        ? Fastify(options)
        : (Fastify({ ...options, https: credentials }) as unknown as FastifyInstance);
    return this.#server;
  }

  async close(): Promise<void> {
    await this.#server?.close();
  }
}

const OPERATOR_SERVER = createServiceToken<OperatorServer>('operatorServer');

/**
 * Serves operators, health checks and metrics over HTTP. It closes after the features have stopped.
 */
export const operatorServerPlugin: Plugin = {
  name: 'operator server',
  register(kernel) {
    const server = new OperatorServer();
    kernel.lifecycle.add('operator server', async () => server.close());
    return kernel.registerService(OPERATOR_SERVER, () => server);
  },
  async start(kernel) {
    const files = kernel.getService(SETTINGS).tls.operators;
    const credentials = files === null ? null : await readCredentials(files);
    const server = kernel.getService(OPERATOR_SERVER).build(credentials);
    kernel.getService(METRICS).startProcessMetrics();
    registerOperatorRoutes(kernel, server);
    registerHealthRoutes(server, kernel.getService(READINESS));
    registerMetricsRoutes(server, kernel.getService(METRICS));
    await server.listen(parseAddress(kernel.getService(ENTRY_SETTINGS).operators));
    if (files !== null && credentials !== null) {
      startCertificateReloader(kernel, server, files, credentials);
    }
  },
};
