/**
 * A minimal proxy from callers to workers without scheduling: the baseline against which the
 * overhead of an entry is measured.
 */
import type { FastifyInstance } from 'fastify';

import Fastify from 'fastify';
import { Pool } from 'undici';

import { registerRawBodyParser } from '@baobabwell/http';

const HOLDER = 'pass-through';
const LEASE_TTL_MS = 3_600_000;
const TASK_TIMEOUT_MS = 10_000;

async function acquireLease(pool: Pool, slots: number): Promise<void> {
  const { body } = await pool.request({
    method: 'PUT',
    path: `/leases/${HOLDER}`,
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ slots, startTtlMs: LEASE_TTL_MS, taskTtlMs: LEASE_TTL_MS }),
  });
  await body.dump();
}

/**
 * Builds a server that forwards each call to the next worker (round robin) and returns the answer.
 *
 * @param addresses `host:port` of the workers; `slots` of each are leased for an hour.
 */
export async function buildPassThroughServer(
  addresses: readonly string[],
  slots: number,
): Promise<FastifyInstance> {
  const pools = addresses.map((address) => new Pool(`http://${address}`, { connections: slots }));
  await Promise.all(pools.map(async (pool) => acquireLease(pool, slots)));
  const server = Fastify({ forceCloseConnections: true });
  registerRawBodyParser(server);
  let count = 0;
  server.post('/v1/queues/:queue/calls', async (request, reply) => {
    count += 1;
    const pool = pools[count % pools.length] as Pool;
    const answer = await pool.request({
      method: 'POST',
      path: `/tasks/pass-through-${count}`,
      headers: {
        'content-type': request.headers['content-type'] ?? 'application/json',
        'lease-holder': HOLDER,
        'task-team': 'open',
        'task-timeout-ms': String(TASK_TIMEOUT_MS),
      },
      body: request.body as Buffer,
    });
    const body = Buffer.from(await answer.body.arrayBuffer());
    return reply
      .code(answer.statusCode)
      .header('content-type', answer.headers['content-type'])
      .send(body);
  });
  server.addHook('onClose', async () => {
    await Promise.all(pools.map(async (pool) => pool.close()));
  });
  return server;
}
