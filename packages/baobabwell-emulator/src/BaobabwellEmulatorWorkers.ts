import type { EmulatedNetwork, Endpoint } from './BaobabwellEmulatorNetwork';
import type { StandInWorker, TaskResult } from '@baobabwell/stand-ins';
import type { Result } from '@baobabwell/utils';
import type { LeaseGrant, LeaseRequest, Task, TaskOutcome, WorkerError } from '@baobabwell/workers';

import { createError, createOk } from '@baobabwell/utils';
import { START_TTL_MS, TASK_TTL_MS, WorkerClient, WorkerClientFactory } from '@baobabwell/workers';

const REQUEST_TIMEOUT_MS = 1_000;
const HTTP_OK = 200;

/** A worker and its endpoint on the emulated network. */
export type WorkerEndpoint = {
  readonly endpoint: Endpoint;
  readonly worker: StandInWorker;
};

function buildOutcome(worker: StandInWorker, result: TaskResult): TaskOutcome {
  const { loseAnswers, cutAnswers } = worker.getFaults();
  if (result.kind === 'rejected') {
    return { kind: 'rejected', code: result.code };
  }
  if (loseAnswers || (cutAnswers && result.kind === 'completed')) {
    return { kind: 'lost', cause: 'the connection was closed' };
  }
  if (result.kind !== 'completed') {
    return { kind: 'failed' };
  }
  const { taskId, body } = result;
  return {
    kind: 'answered',
    answer: { taskId, status: HTTP_OK, contentType: 'application/json', body, stream: null },
  };
}

/** Client of a worker across the emulated network. */
export class EmulatedWorkerClient extends WorkerClient {
  readonly #network: EmulatedNetwork;

  readonly #from: Endpoint;

  readonly #to: WorkerEndpoint;

  constructor(network: EmulatedNetwork, from: Endpoint, to: WorkerEndpoint) {
    super();
    this.#network = network;
    this.#from = from;
    this.#to = to;
  }

  override async renew({
    holder,
    slots,
    stops,
  }: LeaseRequest): Promise<Result<LeaseGrant, WorkerError>> {
    const { worker, endpoint } = this.#to;
    if (worker.getFaults().down || worker.isBooting()) {
      return createError({ kind: 'unreachable', cause: 'refused' });
    }
    const request = { holder, slots, stops, startTtlMs: START_TTL_MS, taskTtlMs: TASK_TTL_MS };
    const result = await this.#network.send({
      from: this.#from,
      to: endpoint,
      timeoutMs: REQUEST_TIMEOUT_MS,
      handle: async () => {
        await this.#hangIfUnresponsive();
        return worker.renew(request);
      },
    });
    return result.kind === 'answered'
      ? createOk(result.value)
      : createError({ kind: 'unreachable', cause: result.kind });
  }

  override async run(task: Task, signal: AbortSignal): Promise<TaskOutcome> {
    const { worker, endpoint } = this.#to;
    if (worker.getFaults().down || worker.isBooting()) {
      return { kind: 'not-sent', cause: 'refused' };
    }
    if (!task.canStart()) {
      return { kind: 'not-sent', cause: 'the lease or the view is too old' };
    }
    const { id: taskId, holder, team, body, timeoutMs } = task;
    const result = await this.#network.send({
      from: this.#from,
      to: endpoint,
      timeoutMs: Number.POSITIVE_INFINITY,
      signal,
      handle: async () => {
        await this.#hangIfUnresponsive();
        const incoming = { taskId, holder, team, body: Buffer.from(body), timeoutMs };
        const taskResult = await worker.run(incoming);
        await endpoint.clock.wait(worker.getFaults().slowMs);
        return buildOutcome(worker, taskResult);
      },
    });
    switch (result.kind) {
      case 'answered':
        return result.value;
      case 'refused':
        return { kind: 'not-sent', cause: 'refused' };
      case 'timeout':
        return { kind: 'lost', cause: 'abandoned' };
    }
  }

  override async stop(taskId: string): Promise<void> {
    await this.#network.send({
      from: this.#from,
      to: this.#to.endpoint,
      timeoutMs: REQUEST_TIMEOUT_MS,
      handle: async () => this.#to.worker.stop(taskId),
    });
  }

  override replaceConnections(): void {
    // Emulated exchanges use no connections.
  }

  override async close(): Promise<void> {
    // Emulated exchanges use no connections.
  }

  async #hangIfUnresponsive(): Promise<void> {
    if (this.#to.worker.getFaults().silent) {
      await new Promise<never>(() => {});
    }
  }
}

/** Creates clients of emulated workers. */
export class EmulatedWorkerClientFactory extends WorkerClientFactory {
  readonly #network: EmulatedNetwork;

  readonly #from: Endpoint;

  readonly #findWorker: (address: string) => WorkerEndpoint;

  constructor(
    network: EmulatedNetwork,
    from: Endpoint,
    findWorker: (address: string) => WorkerEndpoint,
  ) {
    super();
    this.#network = network;
    this.#from = from;
    this.#findWorker = findWorker;
  }

  override create(address: string): WorkerClient {
    return new EmulatedWorkerClient(this.#network, this.#from, this.#findWorker(address));
  }
}
