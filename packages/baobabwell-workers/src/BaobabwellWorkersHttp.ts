import type {
  LeaseGrant,
  LeaseRequest,
  Task,
  TaskOutcome,
  WorkerError,
} from './BaobabwellWorkersClient';
import type { Result } from '@baobabwell/utils';
import type { Dispatcher } from 'undici';

import { Pool, request } from 'undici';
import { z } from 'zod';

import { createError, createOk } from '@baobabwell/utils';

import { WorkerClient, WorkerClientFactory } from './BaobabwellWorkersClient';
import {
  CONNECT_TIMEOUT_MS,
  CONTROL_CONNECTIONS,
  IDLE_CONNECTION_TIMEOUT_MS,
  RENEW_TIMEOUT_MS,
  START_TTL_MS,
  TASK_TTL_MS,
} from './BaobabwellWorkersConstants';
import { TaskExchange } from './BaobabwellWorkersExchange';

const HTTP_OK = 200;

const grantSchema = z.object({
  slots: z.number().int().nonnegative(),
  free: z.number().int().nonnegative(),
  tasks: z.array(z.string()),
});

function buildPool(address: string, connections: number): Pool {
  return new Pool(`http://${address}`, {
    connections,
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    keepAliveTimeout: IDLE_CONNECTION_TIMEOUT_MS,
    keepAliveMaxTimeout: IDLE_CONNECTION_TIMEOUT_MS,
  });
}

function buildTaskRequest(task: Task): Dispatcher.DispatchOptions {
  return {
    method: 'POST',
    path: `/tasks/${encodeURIComponent(task.id)}`,
    headers: {
      'content-type': task.contentType,
      'lease-holder': task.holder,
      'task-team': task.team,
      'task-queue': task.queue,
      'task-priority': task.priority,
      'task-timeout-ms': String(Math.ceil(task.timeoutMs)),
    },
    body: Buffer.from(task.body.buffer, task.body.byteOffset, task.body.byteLength),
    headersTimeout: 0,
    bodyTimeout: 0,
  };
}

/** HTTP client of one worker; renewals use a separate connection. */
export class HttpWorkerClient extends WorkerClient {
  readonly #address: string;

  #taskPool: Pool;

  readonly #controlPool: Pool;

  /** Replaced pools that wait for their last exchanges before they close. */
  readonly #closingPools = new Set<Pool>();

  constructor(address: string, connections: number) {
    super();
    this.#address = address;
    this.#taskPool = buildPool(address, connections);
    this.#controlPool = buildPool(address, CONTROL_CONNECTIONS);
  }

  override async renew({
    holder,
    slots,
    stops,
  }: LeaseRequest): Promise<Result<LeaseGrant, WorkerError>> {
    try {
      const { statusCode, body } = await request(
        `http://${this.#address}/leases/${encodeURIComponent(holder)}`,
        {
          method: 'PUT',
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify({ slots, stops, startTtlMs: START_TTL_MS, taskTtlMs: TASK_TTL_MS }),
          dispatcher: this.#controlPool,
          signal: AbortSignal.timeout(RENEW_TIMEOUT_MS),
        },
      );
      const reply = await body.json();
      return statusCode === HTTP_OK
        ? createOk(grantSchema.parse(reply))
        : createError({ kind: 'unreachable', cause: `status ${statusCode}` });
    } catch (error) {
      return createError({ kind: 'unreachable', cause: String(error) });
    }
  }

  override async run(task: Task, signal: AbortSignal): Promise<TaskOutcome> {
    return new Promise((resolve) => {
      const exchange = new TaskExchange(task, (outcome) => {
        const stream = outcome.kind === 'answered' ? outcome.answer.stream : null;
        const ended = stream === null ? Promise.resolve(true) : stream.ended;
        void ended.then(() => signal.removeEventListener('abort', onAbort));
        resolve(outcome);
      });
      function onAbort(): void {
        exchange.abort('abandoned');
      }
      if (signal.aborted) {
        resolve({ kind: 'not-sent', cause: 'abandoned' });
        return;
      }
      signal.addEventListener('abort', onAbort, { once: true });
      this.#taskPool.dispatch(buildTaskRequest(task), exchange);
    });
  }

  override async stop(taskId: string): Promise<void> {
    try {
      const { body } = await request(
        `http://${this.#address}/tasks/${encodeURIComponent(taskId)}/stop`,
        {
          method: 'POST',
          dispatcher: this.#controlPool,
          signal: AbortSignal.timeout(RENEW_TIMEOUT_MS),
        },
      );
      await body.dump();
    } catch {
      // If the worker can't be reached, the task ends when the lease expires.
    }
  }

  override replaceConnections(connections: number): void {
    const replacedPool = this.#taskPool;
    this.#taskPool = buildPool(this.#address, connections);
    this.#closingPools.add(replacedPool);
    void replacedPool.close().then(() => this.#closingPools.delete(replacedPool));
  }

  override async close(): Promise<void> {
    const pools = [this.#taskPool, this.#controlPool, ...this.#closingPools];
    await Promise.all(pools.map(async (pool) => pool.destroy()));
  }
}

/** Creates HTTP clients of workers. */
export class HttpWorkerClientFactory extends WorkerClientFactory {
  override create(address: string, connections: number): WorkerClient {
    return new HttpWorkerClient(address, connections);
  }
}
