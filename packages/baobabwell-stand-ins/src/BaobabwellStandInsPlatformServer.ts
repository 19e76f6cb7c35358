import type { StandInHostList, StandInObjectStore } from './BaobabwellStandInsPlatform';
import type { StandInTableService } from './BaobabwellStandInsTable';
import type { FastifyInstance, FastifyReply } from 'fastify';

import Fastify from 'fastify';
import { z } from 'zod';

import { ListedHostState, TableErrorKind, transactionSchema } from '@baobabwell/platform';

import { platformFaultsSchema } from './BaobabwellStandInsFaults';

const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;
const HTTP_UNAVAILABLE = 503;
const BODY_LIMIT_BYTES = 16 * 1024 * 1024;

/** The stand-ins that one server exposes. */
export type PlatformStandIns = {
  readonly tables: StandInTableService;
  readonly objects: StandInObjectStore;
  readonly hosts: StandInHostList;
};

const rowParameters = z.object({ table: z.string(), key: z.string() });
const tableParameters = z.object({ table: z.string() });
const objectParameters = z.object({ name: z.string() });
const pageQuery = z.object({ since: z.coerce.number(), limit: z.coerce.number() });
const hostListBody = z.object({
  hosts: z.array(z.object({ id: z.string(), address: z.string(), state: z.enum(ListedHostState) })),
});

function registerTableRoutes(server: FastifyInstance, { tables }: PlatformStandIns): void {
  server.post('/table/transactions', async (request, reply) => {
    const committed = await tables.commit(transactionSchema.parse(request.body));
    if (committed.ok) {
      return { version: committed.value };
    }
    if (committed.error.kind === TableErrorKind.Conflict) {
      return reply.code(HTTP_CONFLICT).send({ conflicts: committed.error.conflicts });
    }
    if (committed.error.mayHaveCommitted) {
      reply.raw.destroy();
      return reply.hijack();
    }
    return reply.code(HTTP_UNAVAILABLE).send({ cause: committed.error.cause });
  });
  server.get('/table/rows/:table/:key', async (request, reply) => {
    const { table, key } = rowParameters.parse(request.params);
    const row = await tables.read(table, key);
    return row.ok ? { row: row.value } : reply.code(HTTP_UNAVAILABLE).send(row.error);
  });
  server.get('/table/rows/:table', async (request, reply) => {
    const { table } = tableParameters.parse(request.params);
    const { since, limit } = pageQuery.parse(request.query);
    const page = await tables.readSince(table, since, limit);
    return page.ok ? page.value : reply.code(HTTP_UNAVAILABLE).send(page.error);
  });
}

function registerObjectRoutes(server: FastifyInstance, { objects }: PlatformStandIns): void {
  async function sendUnavailable(reply: FastifyReply, kind: string): Promise<FastifyReply> {
    return reply.code(kind === 'not-found' ? HTTP_NOT_FOUND : HTTP_UNAVAILABLE).send({ kind });
  }
  server.put('/objects/:name', async (request, reply) => {
    const { name } = objectParameters.parse(request.params);
    const stored = await objects.put(name, request.body as Buffer);
    return stored.ok ? { name } : sendUnavailable(reply, stored.error.kind);
  });
  server.get('/objects/:name', async (request, reply) => {
    const { name } = objectParameters.parse(request.params);
    const body = await objects.get(name);
    return body.ok ? reply.send(Buffer.from(body.value)) : sendUnavailable(reply, body.error.kind);
  });
  server.delete('/objects/:name', async (request, reply) => {
    const { name } = objectParameters.parse(request.params);
    const removed = await objects.remove(name);
    return removed.ok ? { name } : sendUnavailable(reply, removed.error.kind);
  });
}

function registerControlRoutes(server: FastifyInstance, standIns: PlatformStandIns): void {
  const { tables, objects, hosts } = standIns;
  server.get('/hosts', async (_request, reply) => {
    const listed = await hosts.list();
    return listed.ok ? { hosts: listed.value } : reply.code(HTTP_UNAVAILABLE).send(listed.error);
  });
  server.put('/hosts', async (request) => {
    hosts.replace(hostListBody.parse(request.body).hosts);
    return {};
  });
  server.put('/faults', async (request) => {
    const faults = platformFaultsSchema.parse(request.body);
    tables.applyFaults(faults);
    objects.setDown(faults.down);
    hosts.setDown(faults.down);
    return faults;
  });
  server.get('/counts', async () => tables.getCounts());
}

/** Builds the HTTP server of the platform stand-ins; the caller starts and closes it. */
export function buildPlatformServer(standIns: PlatformStandIns): FastifyInstance {
  const server = Fastify({ bodyLimit: BODY_LIMIT_BYTES, forceCloseConnections: true });
  server.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => {
    done(null, body);
  });
  registerTableRoutes(server, standIns);
  registerObjectRoutes(server, standIns);
  registerControlRoutes(server, standIns);
  return server;
}
