import type { Task, TaskOutcome, WorkerClient } from './BaobabwellWorkersClient';
import type { HealthComparison } from './BaobabwellWorkersHealth';
import type { Clock } from '@baobabwell/utils';

import { checkInvariant } from '@baobabwell/utils';

import { RENEW_INTERVAL_MS, START_TTL_MS } from './BaobabwellWorkersConstants';
import { WorkerHealth } from './BaobabwellWorkersHealth';
import { TaskTracker } from './BaobabwellWorkersTasks';

/** Dependencies and limits of {@link WorkerSession}. */
export type WorkerSessionDependencies = {
  readonly host: string;
  readonly holder: string;
  readonly client: WorkerClient;
  readonly clock: Clock;
  /** Returns the maximum number of slots that this entry may hold on the worker. */
  readonly getMaxSlots: () => number;
  /** Returns the maximum number of task connections that this entry may open to the worker. */
  readonly getConnections: () => number;
  readonly comparison: HealthComparison;
  /** Returns whether the view is recent enough for this entry to hold leases. */
  readonly isCurrent: () => boolean;
  /** Called when slots may have become usable. */
  readonly onChange: () => void;
  /** Called when the health of the worker changes or exchanges with it are abandoned. */
  readonly onEvent: (event: WorkerEvent) => void;
};

/** Health events of a worker. */
export enum WorkerEvent {
  /** The worker fails its tasks and gets only probes. */
  Suspect = 'worker-suspect',
  /** The worker answered a probe, or its failures were caused by the work itself. */
  Trusted = 'worker-trusted',
  /** An exchange was abandoned because it will never be answered. */
  Unresponsive = 'worker-silent',
}

/** Treats an answer to another task as lost: it may belong to another caller. */
function checkAnswer(task: Task, outcome: TaskOutcome): TaskOutcome {
  return outcome.kind === 'answered' && outcome.answer.taskId !== task.id
    ? { kind: 'lost', cause: 'the answer belongs to another task' }
    : outcome;
}

/** Lease of this entry on one worker: renews it, and tracks its slots and tasks. */
export class WorkerSession {
  readonly client: WorkerClient;

  readonly host: string;

  readonly holder: string;

  readonly health: WorkerHealth;

  readonly #tasks: TaskTracker;

  readonly #dependencies: WorkerSessionDependencies;

  readonly #stopped = new AbortController();

  #earlyRenewal = new AbortController();

  #heldSlots = 0;

  #slotsInUse = 0;

  #peakSlotsInUse = 0;

  #requestedSlots = 0;

  #freeSlots = 0;

  #connections: number;

  #isReachable = true;

  #startableUntil = Number.NEGATIVE_INFINITY;

  #renewalSentAt = Number.NEGATIVE_INFINITY;

  constructor(dependencies: WorkerSessionDependencies) {
    this.#dependencies = dependencies;
    this.client = dependencies.client;
    this.host = dependencies.host;
    this.holder = dependencies.holder;
    this.health = new WorkerHealth(dependencies.comparison);
    this.#tasks = new TaskTracker(dependencies.clock);
    this.#connections = dependencies.getConnections();
  }

  /** Returns how many tasks can be started now; a suspect worker takes one, as a probe. */
  getUsableSlots(): number {
    if (!this.#canStart()) {
      return 0;
    }
    const usableSlots = Math.max(0, this.#heldSlots - this.#slotsInUse);
    if (!this.health.isSuspect()) {
      return usableSlots;
    }
    const isProbeDue =
      this.#slotsInUse === 0 && this.health.canProbe(this.#dependencies.clock.getNow());
    return isProbeDue ? Math.min(1, usableSlots) : 0;
  }

  /** Returns whether the worker is suspect and gets only probes. */
  isSuspect(): boolean {
    return this.health.isSuspect();
  }

  /**
   * Runs a task in an acquired slot. Never rejects. After an outcome other than an answer, the slot
   * must not be released until {@link waitForEnd} resolves.
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
    void stream?.ended.then((isComplete) => this.#tasks.remove(task.id, !isComplete));
    return outcome;
  }

  /** Resolves when an abandoned task no longer runs on the worker. */
  async waitForEnd(taskId: string): Promise<void> {
    this.#earlyRenewal.abort();
    await this.#tasks.waitForEnd(taskId);
  }

  /** Returns the number of slots in use by tasks of this entry. */
  getSlotsInUse(): number {
    return this.#slotsInUse;
  }

  /** Returns how many more slots the worker may grant, according to its last reply. */
  getFreeSlots(): number {
    const slotsBelowMax = this.#dependencies.getMaxSlots() - this.#heldSlots - this.#requestedSlots;
    const isProbeDue =
      this.#heldSlots === 0 && this.health.canProbe(this.#dependencies.clock.getNow());
    if (this.health.isSuspect() && !isProbeDue) {
      return 0;
    }
    return this.#isReachable ? Math.max(0, Math.min(this.#freeSlots, slotsBelowMax)) : 0;
  }

  /** Returns the number of requested slots without a reply yet. */
  getRequestedSlots(): number {
    return this.#requestedSlots;
  }

  /** Requests one more slot, and renews the lease at once. */
  requestSlot(): void {
    this.#requestedSlots += 1;
    this.#earlyRenewal.abort();
  }

  /** Returns the milliseconds since the last renewal was sent, whether or not it was answered. */
  getLeaseRequestAge(): number {
    return this.#dependencies.clock.getNow() - this.#renewalSentAt;
  }

  /** Releases idle slots at once rather than with a later renewal. */
  returnIdleSlots(): void {
    if (this.#heldSlots > Math.max(this.#slotsInUse, 0) && this.#requestedSlots === 0) {
      this.#peakSlotsInUse = this.#slotsInUse;
      this.#earlyRenewal.abort();
    }
  }

  /** Acquires one usable slot. */
  acquireSlot(): void {
    checkInvariant(this.getUsableSlots() > 0, `no usable slot on ${this.host}`);
    this.#slotsInUse += 1;
    this.#peakSlotsInUse = Math.max(this.#peakSlotsInUse, this.#slotsInUse);
    this.health.recordStart(this.#dependencies.clock.getNow());
  }

  /** Releases a slot. */
  releaseSlot(): void {
    checkInvariant(this.#slotsInUse > 0, `slot of ${this.host} released twice`);
    this.#slotsInUse -= 1;
    this.#dependencies.onChange();
  }

  /** Renews the lease until {@link stop} is called, then closes the client. */
  async run(): Promise<void> {
    const { clock } = this.#dependencies;
    while (!this.#stopped.signal.aborted) {
      if (this.#dependencies.isCurrent()) {
        await this.#renew();
      }
      if (!this.#earlyRenewal.signal.aborted) {
        await clock.wait(RENEW_INTERVAL_MS, this.#earlyRenewal.signal);
      }
      this.#earlyRenewal = new AbortController();
    }
    await this.client.close();
  }

  /** Stops {@link run}, which closes the connections. */
  stop(): void {
    this.#stopped.abort();
    this.#earlyRenewal.abort();
  }

  async #renew(): Promise<void> {
    const { client, clock, holder, getMaxSlots, onChange } = this.#dependencies;
    this.#updateConnections();
    const stops = this.#tasks.listStops();
    const requestedSlots = this.#requestedSlots;
    const desiredSlots = Math.min(getMaxSlots(), this.#getRetainedSlots() + requestedSlots);
    this.#peakSlotsInUse = this.#slotsInUse;
    // The worker may apply this lease at any time from now on, and would reject tasks beyond it.
    this.#heldSlots = Math.min(this.#heldSlots, desiredSlots);
    const sentAt = clock.getNow();
    this.#renewalSentAt = sentAt;
    const grant = await client.renew({ holder, slots: desiredSlots, stops });
    this.#requestedSlots = Math.max(0, this.#requestedSlots - requestedSlots);
    this.#isReachable = grant.ok;
    if (grant.ok) {
      this.#heldSlots = grant.value.slots;
      // A worker that grants fewer slots than requested has no free ones, so none is requested
      // again at once.
      this.#freeSlots = grant.value.slots < desiredSlots ? 0 : grant.value.free;
      this.#startableUntil = sentAt + START_TTL_MS;
    }
    const hasAbandoned = grant.ok
      ? this.#tasks.recordGrant(sentAt, grant.value.tasks, stops)
      : this.#tasks.recordUnanswered(sentAt);
    if (hasAbandoned) {
      this.#dependencies.onEvent(WorkerEvent.Unresponsive);
      this.#replaceConnections();
    }
    onChange();
  }

  /** Returns the peak of slots used since the last renewal, at least one if a probe is due. */
  #getRetainedSlots(): number {
    const isProbeDue =
      this.health.isSuspect() && this.health.canProbe(this.#dependencies.clock.getNow());
    return Math.max(this.#peakSlotsInUse, this.#slotsInUse, isProbeDue ? 1 : 0);
  }

  #recordOutcome(outcome: TaskOutcome, wasAbandoned: boolean): void {
    const wasSuspect = this.health.isSuspect();
    if (outcome.kind === 'answered') {
      this.health.recordSuccess();
    }
    if (outcome.kind === 'failed' || (outcome.kind === 'lost' && !wasAbandoned)) {
      this.health.recordFailure(this.#dependencies.clock.getNow());
    }
    if (outcome.kind === 'lost' && !wasAbandoned) {
      this.#replaceConnections();
    }
    if (this.health.isSuspect() !== wasSuspect) {
      this.#dependencies.onEvent(wasSuspect ? WorkerEvent.Trusted : WorkerEvent.Suspect);
    }
  }

  #canStart(): boolean {
    return this.#startableUntil >= this.#dependencies.clock.getNow();
  }

  #updateConnections(): void {
    if (this.#connections !== this.#dependencies.getConnections()) {
      this.#replaceConnections();
    }
  }

  /**
   * Replaces all connections: if one of them stalled, others of the same age may have stalled too.
   */
  #replaceConnections(): void {
    this.#connections = this.#dependencies.getConnections();
    this.client.replaceConnections(this.#connections);
  }
}
