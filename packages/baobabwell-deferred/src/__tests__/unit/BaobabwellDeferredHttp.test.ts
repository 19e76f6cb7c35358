import type { DeferredGate } from '../../BaobabwellDeferredGate';
import type { DeferredService } from '../../BaobabwellDeferredService';
import type { CallService } from '@baobabwell/calls';
import type { FastifyInstance } from 'fastify';

import { expect } from 'earl';

import { buildCallServer } from '@baobabwell/calls';

import { registerDeferredCalls, registerWorkRoutes } from '../../BaobabwellDeferredHttp';
import { CancelResult } from '../../BaobabwellDeferredService';

const HEADERS = { authorization: 'Bearer key' };

describe('deferred work routes', () => {
  let server: FastifyInstance;

  beforeEach(() => {
    const calls = { run: async () => ({}) };
    const gate = {
      isDeferred: (queue: string) => queue === 'rosters',
      add: async () => ({ kind: 'unknown', id: 'work-1' }),
    };
    const service = {
      cancel: async (ids: readonly string[]) => new Map(ids.map((id) => [id, CancelResult.Ended])),
    };
    server = buildCallServer(calls as unknown as CallService, () => {});
    registerDeferredCalls(server, gate as unknown as DeferredGate);
    registerWorkRoutes(server, service as unknown as DeferredService, (secret) =>
      secret === 'key' ? 'guilds' : null,
    );
  });

  afterEach(async () => server.close());

  async function send(url: string, payload: string, headers: Record<string, string> = HEADERS) {
    const reply = await server.inject({ method: 'POST', url, headers, payload });
    return {
      status: reply.statusCode,
      location: reply.headers.location,
      body: reply.json<unknown>(),
    };
  }

  it('return the location of work whose acceptance has an unknown outcome', async function () {
    expect(await send('/v1/queues/rosters/calls', '{}')).toMatchSnapshot(this);
  });

  it('cancel the listed work, and refuse a body without a list of identifiers', async function () {
    const replies = [
      await send('/v1/work/cancellations', '{"ids":["a","b"]}'),
      await send('/v1/work/cancellations', 'nonsense'),
      await send('/v1/work/cancellations', '{"ids":[]}'),
      await send('/v1/work/cancellations', '{"ids":["a"]}', { authorization: 'Bearer other' }),
    ];
    expect(replies).toMatchSnapshot(this);
  });
});
