/** Subclasses and decorators of services that report their calls to a {@link CallRecorder}. */
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

/** Call service that records each call that it accepts. */
export class RecordedCallService extends CallService {
  readonly #recorder: CallRecorder;

  constructor(dependencies: CallServiceDependencies, recorder: CallRecorder) {
    super(dependencies);
    this.#recorder = recorder;
  }

  override async run(request: CallRequest, signal: AbortSignal): Promise<CallResult> {
    this.#recorder.recordAccepted(request);
    return super.run(request, signal);
  }
}

/** Scheduler that records how long calls wait for a slot. */
export class RecordedPoolScheduler extends PoolScheduler {
  readonly #recorder: CallRecorder;

  readonly #dependencies: PoolSchedulerDependencies;

  constructor(dependencies: PoolSchedulerDependencies, recorder: CallRecorder) {
    super(dependencies);
    this.#dependencies = dependencies;
    this.#recorder = recorder;
  }

  override async acquire(
    request: SlotRequest,
    signal: AbortSignal,
  ): Promise<Result<SlotGrant, SlotRefusal>> {
    const { clock } = this.#dependencies;
    const startedAt = clock.getNow();
    this.#recorder.recordWaiting(request);
    const result = await super.acquire(request, signal);
    const refusal = result.ok ? NO_REFUSAL : result.error.kind;
    this.#recorder.recordWaitEnded(request, clock.getNow() - startedAt, refusal);
    return result;
  }
}

/** Decorates the client of one worker to record its attempts. */
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

/** Creates worker clients that record their attempts. */
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
