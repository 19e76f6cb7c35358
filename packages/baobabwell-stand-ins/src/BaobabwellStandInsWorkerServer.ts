import type { StandInWorker, TaskResult } from './BaobabwellStandInsWorker';
import type { Clock } from '@baobabwell/utils';
import type { FastifyInstance, FastifyReply } from 'fastify';

import Fastify from 'fastify';
import { z } from 'zod';

import { registerRawBodyParser } from '@baobabwell/http';

import { workerFaultsSchema } from './BaobabwellStandInsFaults';

const HTTP_CONFLICT = 409;
const HTTP_FAILED = 500;
const BODY_LIMIT_BYTES = 16 * 1024 * 1024;
const MAX_CONNECTIONS = 64;

const leaseBody = z.object({
  slots: z.number().int().nonnegative(),
  stops: z.array(z.string()).default([]),
  startTtlMs: z.number().positive(),
  taskTtlMs: z.number().positive(),
});
const holderParameters = z.object({ holder: z.string() });
const taskParameters = z.object({ taskId: z.string() });
const taskHeaders = z.object({
  'lease-holder': z.string(),
  'task-team': z.string(),
  'task-timeout-ms': z.coerce.number().positive(),
});
const rebootBody = z.object({ token: z.number().int().positive() });
const stoppingBody = z.object({ stopping: z.boolean() });

function parseJson<Schema extends z.ZodType>(schema: Schema, body: unknown): z.infer<Schema> {
  return schema.parse(JSON.parse((body as Buffer).toString('utf8')));
}

async function sendResult(
  reply: FastifyReply,
  worker: StandInWorker,
  taskId: string,
  result: TaskResult,
): Promise<FastifyReply> {
  if (worker.getFaults().loseAnswers && result.kind !== 'rejected') {
    reply.raw.destroy();
    return reply.hijack();
  }
  reply.header('task-id', result.kind === 'completed' ? result.taskId : taskId);
  if (result.kind === 'rejected') {
    return reply.code(HTTP_CONFLICT).send({ code: result.code });
  }
  if (result.kind !== 'completed') {
    return reply.code(HTTP_FAILED).send({ code: result.kind });
  }
  if (worker.getFaults().cutAnswers) {
    reply.hijack();
    reply.raw.writeHead(200, {
      'task-id': result.taskId,
      'content-length': String(result.body.length),
    });
    reply.raw.write(result.body.subarray(0, result.body.length / 2));
    reply.raw.destroy();
    return reply;
  }
  return reply.header('content-type', 'application/json').send(result.body);
}

function registerTaskRoutes(server: FastifyInstance, worker: StandInWorker, clock: Clock): void {
  server.put('/leases/:holder', async (request) => {
    const { holder } = holderParameters.parse(request.params);
    return worker.renew({ holder, ...parseJson(leaseBody, request.body) });
  });
  server.post('/tasks/:taskId', async (request, reply) => {
    const { taskId } = taskParameters.parse(request.params);
    const headers = taskHeaders.parse(request.headers);
    const result = await worker.run({
      taskId,
      holder: headers['lease-holder'],
      team: headers['task-team'],
      timeoutMs: headers['task-timeout-ms'],
      body: (request.body as Buffer | undefined) ?? Buffer.alloc(0),
    });
    await clock.wait(worker.getFaults().slowMs);
    return sendResult(reply, worker, taskId, result);
  });
  server.post('/tasks/:taskId/stop', async (request) => {
    worker.stop(taskParameters.parse(request.params).taskId);
    return {};
  });
}

function registerControlRoutes(server: FastifyInstance, worker: StandInWorker): void {
  server.get('/ledger', async () => ({ lines: worker.getLedger() }));
  server.put('/faults', async (request) => {
    worker.applyFaults(parseJson(workerFaultsSchema, request.body));
    return worker.getFaults();
  });
  server.put('/stopping', async (request) => {
    worker.setStopping(parseJson(stoppingBody, request.body).stopping);
    return {};
  });
  server.get('/status', async () => ({
    running: worker.getRunningCount(),
    rebootToken: worker.getRebootToken(),
  }));
  server.put('/reboot', async (request, reply) => {
    const isAccepted = worker.reboot(parseJson(rebootBody, request.body).token);
    return isAccepted ? {} : reply.code(HTTP_CONFLICT).send({ code: 'stale-token' });
  });
  server.post('/crash', async () => {
    worker.crash();
    return {};
  });
}

/** Builds the HTTP server of one worker; the caller starts and closes it. */
export function buildWorkerServer(worker: StandInWorker, clock: Clock): FastifyInstance {
  const server = Fastify({ bodyLimit: BODY_LIMIT_BYTES, forceCloseConnections: true });
  server.server.maxConnections = MAX_CONNECTIONS;
  registerRawBodyParser(server);
  server.addHook('onRequest', async (request, reply) => {
    const { down, silent } = worker.getFaults();
    const isControl = ['/faults', '/ledger', '/crash', '/stopping'].includes(request.url);
    if (isControl) {
      return undefined;
    }
    if (down || worker.isBooting()) {
      request.raw.destroy();
      return reply.hijack();
    }
    return silent ? new Promise<never>(() => {}) : undefined;
  });
  registerTaskRoutes(server, worker, clock);
  registerControlRoutes(server, worker);
  return server;
}
