import type { Task, TaskOutcome, WorkerClient } from './BaobabwellWorkersClient';
import type { HealthComparison } from './BaobabwellWorkersHealth';
import type { Clock } from '@baobabwell/utils';

import { checkInvariant } from '@baobabwell/utils';

import { RENEW_INTERVAL_MS, START_TTL_MS } from './BaobabwellWorkersConstants';
import { WorkerHealth } from './BaobabwellWorkersHealth';
import { TaskTracker } from './BaobabwellWorkersTasks';

/** What a session works with. */
export type WorkerSessionParts = {
  readonly host: string;
  readonly holder: string;
  readonly client: WorkerClient;
  readonly clock: Clock;
  /** Most slots that this entry may hold on the worker. */
  readonly getMaxSlots: () => number;
  /** Most connections for tasks that this entry may open to the worker. */
  readonly getConnections: () => number;
  readonly comparison: HealthComparison;
  /** Whether this entry may hold leases now. */
  readonly isCurrent: () => boolean;
  /** Called when slots may have become usable. */
  readonly onChange: () => void;
  /** Called when the judgement of the worker changes. */
  readonly onEvent: (event: WorkerEvent) => void;
};

/** What an entry finds out about a worker. */
export enum WorkerEvent {
  /** It fails what it is given, and gets probes only. */
  Suspect = 'worker-suspect',
  /** It answered a probe, or its failures were the work's own. */
  Trusted = 'worker-trusted',
  /** An exchange was abandoned because nothing will come of it. */
  Silent = 'worker-silent',
}

/** An answer that does not carry the task's own identifier may be another caller's. */
function checkAnswer(task: Task, outcome: TaskOutcome): TaskOutcome {
  return outcome.kind === 'answered' && outcome.answer.taskId !== task.id
    ? { kind: 'lost', cause: 'the answer belongs to another task' }
    : outcome;
}

/** This entry's lease on one worker: how many slots it holds and how many are in use. */
export class WorkerSession {
  readonly client: WorkerClient;

  readonly host: string;

  readonly holder: string;

  readonly health: WorkerHealth;

  readonly #tasks: TaskTracker;

  readonly #parts: WorkerSessionParts;

  readonly #stopped = new AbortController();

  #wake = new AbortController();

  #held = 0;

  #inUse = 0;

  #peakInUse = 0;

  #requested = 0;

  #free = 0;

  #connections: number;

  #isReachable = true;

  #startableUntil = Number.NEGATIVE_INFINITY;

  #askedAt = Number.NEGATIVE_INFINITY;

  constructor(parts: WorkerSessionParts) {
    this.#parts = parts;
    this.client = parts.client;
    this.host = parts.host;
    this.holder = parts.holder;
    this.health = new WorkerHealth(parts.comparison);
    this.#tasks = new TaskTracker(parts.clock);
    this.#connections = parts.getConnections();
  }

  /** Slots in which a task can be started now; a suspect worker has one, for its probes. */
  getUsableSlots(): number {
    if (!this.#canStart()) {
      return 0;
    }
    const usable = Math.max(0, this.#held - this.#inUse);
    if (!this.health.isSuspect()) {
      return usable;
    }
    const isProbeDue = this.#inUse === 0 && this.health.canProbe(this.#parts.clock.getNow());
    return isProbeDue ? Math.min(1, usable) : 0;
  }

  /** True while the worker fails what it is given and gets probes only. */
  isSuspect(): boolean {
    return this.health.isSuspect();
  }

  /**
   * Runs a task in an acquired slot. Never rejects. After an outcome other than an answer the
   * slot must be kept until {@link waitForEnd} resolves.
   */
  async runTask(task: Task, signal: AbortSignal): Promise<TaskOutcome> {
    if (signal.aborted) {
      return { kind: 'not-sent', cause: 'abandoned' };
    }
    const abandoned = this.#tasks.add(task.id);
    const received = await this.client.run(
      { ...task, canStart: () => this.#canStart() && task.canStart() },
      AbortSignal.any([signal, abandoned]),
    );
    const outcome = checkAnswer(task, received);
    this.#tasks.remove(task.id, outcome.kind === 'lost');
    this.#recordOutcome(outcome, signal.aborted);
    const stream = outcome.kind === 'answered' ? outcome.answer.stream : null;
    void stream?.ended.then((isWhole) => this.#tasks.remove(task.id, !isWhole));
    return outcome;
  }

  /** Resolves when a task that was given up runs no more on the worker. */
  async waitForEnd(taskId: string): Promise<void> {
    this.#wake.abort();
    await this.#tasks.waitForEnd(taskId);
  }

  /** Slots with a task of this entry. */
  getSlotsInUse(): number {
    return this.#inUse;
  }

  /** Slots that may still be granted, as far as is known. */
  getFreeSlots(): number {
    const roomBelowCap = this.#parts.getMaxSlots() - this.#held - this.#requested;
    const isProbeDue = this.#held === 0 && this.health.canProbe(this.#parts.clock.getNow());
    if (this.health.isSuspect() && !isProbeDue) {
      return 0;
    }
    return this.#isReachable ? Math.max(0, Math.min(this.#free, roomBelowCap)) : 0;
  }

  /** Slots asked for and not yet answered. */
  getRequestedSlots(): number {
    return this.#requested;
  }

  /** Asks for one more slot with the next renewal, which happens at once. */
  requestSlot(): void {
    this.#requested += 1;
    this.#wake.abort();
  }

  /** Milliseconds since a grant was last asked for, also one that was refused or lost. */
  getGrantAge(): number {
    return this.#parts.clock.getNow() - this.#askedAt;
  }

  /** Gives slots without a task back at once rather than with a later renewal. */
  returnIdleSlots(): void {
    if (this.#held > Math.max(this.#inUse, 0) && this.#requested === 0) {
      this.#peakInUse = this.#inUse;
      this.#wake.abort();
    }
  }

  /** Takes one usable slot. */
  acquireSlot(): void {
    checkInvariant(this.getUsableSlots() > 0, `no usable slot on ${this.host}`);
    this.#inUse += 1;
    this.#peakInUse = Math.max(this.#peakInUse, this.#inUse);
    this.health.recordStart(this.#parts.clock.getNow());
  }

  /** Gives a slot back. */
  releaseSlot(): void {
    checkInvariant(this.#inUse > 0, `slot of ${this.host} released twice`);
    this.#inUse -= 1;
    this.#parts.onChange();
  }

  /** Renews the lease until stopped. */
  async run(): Promise<void> {
    const { clock } = this.#parts;
    while (!this.#stopped.signal.aborted) {
      if (this.#parts.isCurrent()) {
        await this.#renew();
      }
      if (!this.#wake.signal.aborted) {
        await clock.wait(RENEW_INTERVAL_MS, this.#wake.signal);
      }
      this.#wake = new AbortController();
    }
    await this.client.close();
  }

  /** Ends {@link run} and closes the connections. */
  stop(): void {
    this.#stopped.abort();
    this.#wake.abort();
  }

  async #renew(): Promise<void> {
    const { client, clock, holder, getMaxSlots, onChange } = this.#parts;
    this.#updateConnections();
    const stops = this.#tasks.listStops();
    const asked = this.#requested;
    const wanted = Math.min(getMaxSlots(), this.#getSlotsToKeep() + asked);
    this.#peakInUse = this.#inUse;
    // The worker may apply this at any moment from now on: more would be rejected.
    this.#held = Math.min(this.#held, wanted);
    const sentAt = clock.getNow();
    this.#askedAt = sentAt;
    const grant = await client.renew({ holder, slots: wanted, stops });
    this.#requested = Math.max(0, this.#requested - asked);
    this.#isReachable = grant.ok;
    if (grant.ok) {
      this.#held = grant.value.slots;
      // What was asked for and not granted is not there to be asked for again at once.
      this.#free = grant.value.slots < wanted ? 0 : grant.value.free;
      this.#startableUntil = sentAt + START_TTL_MS;
    }
    const isSilent = grant.ok
      ? this.#tasks.recordGrant(sentAt, grant.value.tasks, stops)
      : this.#tasks.recordUnanswered(sentAt);
    if (isSilent) {
      this.#parts.onEvent(WorkerEvent.Silent);
      this.#replaceConnections();
    }
    onChange();
  }

  /** Slots of the last interval, and one for the probe of a suspect worker. */
  #getSlotsToKeep(): number {
    const isProbeDue = this.health.isSuspect() && this.health.canProbe(this.#parts.clock.getNow());
    return Math.max(this.#peakInUse, this.#inUse, isProbeDue ? 1 : 0);
  }

  #recordOutcome(outcome: TaskOutcome, wasGivenUp: boolean): void {
    const wasSuspect = this.health.isSuspect();
    if (outcome.kind === 'answered') {
      this.health.recordSuccess();
    }
    if (outcome.kind === 'failed' || (outcome.kind === 'lost' && !wasGivenUp)) {
      this.health.recordFailure(this.#parts.clock.getNow());
    }
    if (outcome.kind === 'lost' && !wasGivenUp) {
      this.#replaceConnections();
    }
    if (this.health.isSuspect() !== wasSuspect) {
      this.#parts.onEvent(wasSuspect ? WorkerEvent.Trusted : WorkerEvent.Suspect);
    }
  }

  #canStart(): boolean {
    return this.#startableUntil >= this.#parts.clock.getNow();
  }

  #updateConnections(): void {
    if (this.#connections !== this.#parts.getConnections()) {
      this.#replaceConnections();
    }
  }

  /** One stalled connection makes all of the same age suspect. */
  #replaceConnections(): void {
    this.#connections = this.#parts.getConnections();
    this.client.replaceConnections(this.#connections);
  }
}
