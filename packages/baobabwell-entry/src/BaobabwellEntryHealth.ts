import type { Readiness } from './BaobabwellEntryReadiness';
import type { FastifyInstance } from 'fastify';

const HTTP_UNAVAILABLE = 503;

/** Adds the liveness and readiness routes that the platform's load balancer polls. */
export function registerHealthRoutes(server: FastifyInstance, readiness: Readiness): void {
  server.get('/livez', async () => ({ live: true }));
  server.get('/readyz', async (_request, reply) => {
    const cause = readiness.getCause();
    return cause === null
      ? { ready: true }
      : reply.code(HTTP_UNAVAILABLE).send({ ready: false, cause });
  });
}
