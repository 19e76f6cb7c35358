/** The call service, the schedulers and the worker clients of an entry, with their calls recorded. */
import type { CallRecorder } from './BaobabwellEntryCallRecorder';
import type { CallRequest, CallResult, CallServiceDependencies } from '@baobabwell/calls';
import type {
  PoolSchedulerDependencies,
  SlotGrant,
  SlotRefusal,
  SlotRequest,
} from '@baobabwell/scheduling';
import type { Result } from '@baobabwell/utils';
import type { LeaseGrant, LeaseRequest, Task, TaskOutcome, WorkerError } from '@baobabwell/workers';

import { CallService } from '@baobabwell/calls';
import { PoolScheduler } from '@baobabwell/scheduling';
import { WorkerClient, WorkerClientFactory } from '@baobabwell/workers';

const NO_REFUSAL = 'none';

/** Records each call that it takes. */
export class RecordedCallService extends CallService {
  readonly #recorder: CallRecorder;

  constructor(parts: CallServiceDependencies, recorder: CallRecorder) {
    super(parts);
    this.#recorder = recorder;
  }

  override async run(request: CallRequest, signal: AbortSignal): Promise<CallResult> {
    this.#recorder.recordAccepted(request);
    return super.run(request, signal);
  }
}

/** Records how long calls wait. */
export class RecordedPoolScheduler extends PoolScheduler {
  readonly #recorder: CallRecorder;

  readonly #parts: PoolSchedulerDependencies;

  constructor(parts: PoolSchedulerDependencies, recorder: CallRecorder) {
    super(parts);
    this.#parts = parts;
    this.#recorder = recorder;
  }

  override async acquire(
    request: SlotRequest,
    signal: AbortSignal,
  ): Promise<Result<SlotGrant, SlotRefusal>> {
    const { clock } = this.#parts;
    const since = clock.getNow();
    this.#recorder.recordWaiting(request);
    const turn = await super.acquire(request, signal);
    const refusal = turn.ok ? NO_REFUSAL : turn.error.kind;
    this.#recorder.recordTurn(request, clock.getNow() - since, refusal);
    return turn;
  }
}

/** Records the attempts on one worker. */
class RecordedWorkerClient extends WorkerClient {
  readonly #client: WorkerClient;

  readonly #address: string;

  readonly #recorder: CallRecorder;

  constructor(client: WorkerClient, address: string, recorder: CallRecorder) {
    super();
    this.#client = client;
    this.#address = address;
    this.#recorder = recorder;
  }

  override async renew(request: LeaseRequest): Promise<Result<LeaseGrant, WorkerError>> {
    return this.#client.renew(request);
  }

  override async run(task: Task, signal: AbortSignal): Promise<TaskOutcome> {
    this.#recorder.recordDispatched(task, this.#address);
    const outcome = await this.#client.run(task, signal);
    this.#recorder.recordAttempt(task, outcome, this.#address);
    return outcome;
  }

  override async stop(taskId: string): Promise<void> {
    return this.#client.stop(taskId);
  }

  override replaceConnections(connections: number): void {
    this.#client.replaceConnections(connections);
  }

  override async close(): Promise<void> {
    return this.#client.close();
  }
}

/** Creates worker clients whose attempts are recorded. */
export class RecordedWorkerClientFactory extends WorkerClientFactory {
  readonly #factory: WorkerClientFactory;

  readonly #recorder: CallRecorder;

  constructor(factory: WorkerClientFactory, recorder: CallRecorder) {
    super();
    this.#factory = factory;
    this.#recorder = recorder;
  }

  override create(address: string, connections: number): WorkerClient {
    const client = this.#factory.create(address, connections);
    return new RecordedWorkerClient(client, address, this.#recorder);
  }
}
