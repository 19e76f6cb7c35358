import type { VersionedWork, Work, WorkResult } from './BaobabwellDeferred';
import type { BodyStore } from './BaobabwellDeferredBodies';
import type { WorkIndex } from './BaobabwellDeferredIndex';
import type { OwnerTracker } from './BaobabwellDeferredOwners';
import type { WorkStore } from './BaobabwellDeferredStore';
import type { ServiceWindow } from '@baobabwell/model';
import type { Clock } from '@baobabwell/utils';

import { Outcome } from '@baobabwell/model';

import { buildEnded, buildPlainResult, isOpen, WorkReason, WorkState } from './BaobabwellDeferred';
import {
  MAX_RUN_ATTEMPTS,
  MAX_RUNNING_ITEMS,
  RUN_RETRY_DELAY_MS,
  RUNNER_INTERVAL_MS,
  STORE_RETRY_INTERVAL_MS,
} from './BaobabwellDeferredConstants';
import { isWindowOpen } from './BaobabwellDeferredWindow';

/** Result of one attempt to run a work item. */
export type AttemptResult = {
  readonly outcome: Outcome;
  readonly reason: string;
  /** Whether the runner may start another attempt without a new request of the caller. */
  readonly canRetry: boolean;
  readonly answer: {
    readonly status: number;
    readonly contentType: string;
    readonly body: Uint8Array;
  } | null;
};

/** Runs one attempt of a work item; {@link run} never rejects. */
export abstract class WorkExecutor {
  abstract run(work: Work, body: Uint8Array, signal: AbortSignal): Promise<AttemptResult>;
}

/** Queue whose work this entry runs. */
export type RunnableQueue = {
  readonly id: string;
  readonly window: ServiceWindow | null;
};

/** Dependencies of {@link WorkRunner}. */
export type WorkRunnerDependencies = {
  readonly clock: Clock;
  readonly index: WorkIndex;
  readonly store: WorkStore;
  readonly bodies: BodyStore;
  readonly owners: OwnerTracker;
  readonly executor: WorkExecutor;
  /** Returns the entry and incarnation of this process. */
  readonly getOwner: () => string;
  /** Lists the queues whose work this entry runs now; empty while it must not start work. */
  readonly listQueues: () => readonly RunnableQueue[];
};

/** Returns whether a work item is still open and in the same attempt of the same owner. */
function isSameAttempt(current: Work, { owner, attempts }: Work): boolean {
  return isOpen(current) && current.owner === owner && current.attempts === attempts;
}

/**
 * Runs the deferred work of the queues assigned to this entry. It claims an item in its row before
 * sending it, so that the item does not run twice when two entries both consider a queue theirs.
 */
export class WorkRunner {
  readonly #dependencies: WorkRunnerDependencies;

  readonly #running = new Map<string, AbortController>();

  readonly #tasks = new Set<Promise<void>>();

  readonly #stopped = new AbortController();

  constructor(dependencies: WorkRunnerDependencies) {
    this.#dependencies = dependencies;
    dependencies.index.registerListener((work) => {
      if (work.isCancelRequested) {
        this.#running.get(work.id)?.abort();
      }
    });
  }

  /** Returns the number of work items that this entry runs. */
  countRunning(): number {
    return this.#running.size;
  }

  /** Starts work periodically until {@link stop} is called. */
  async run(): Promise<void> {
    const { clock, listQueues } = this.#dependencies;
    while (!this.#stopped.signal.aborted) {
      for (const queue of listQueues()) {
        await this.#resolveOrphans(queue);
        await this.#startQueuedWork(queue);
      }
      await clock.wait(RUNNER_INTERVAL_MS, this.#stopped.signal);
    }
  }

  /** Stops starting work, and waits until all running work has ended and its result is stored. */
  async stop(): Promise<void> {
    this.#stopped.abort();
    await Promise.all(this.#tasks);
  }

  async #startQueuedWork({ id, window }: RunnableQueue): Promise<void> {
    const { clock, index, store, getOwner } = this.#dependencies;
    const wallTime = clock.getWallTime();
    const overdue = index
      .listStartable(id, wallTime)
      .filter(({ work }) => work.deadlineAt <= wallTime);
    await this.#endOverdue(overdue);
    const freeCapacity = MAX_RUNNING_ITEMS - this.#running.size;
    if (freeCapacity <= 0 || !isWindowOpen(window, wallTime)) {
      return;
    }
    const selected = index.listStartable(id, wallTime).slice(0, freeCapacity);
    if (selected.length === 0) {
      return;
    }
    const owner = getOwner();
    const claims = selected.map(({ work, version }) => ({
      work: { ...work, state: WorkState.Running, owner, attempts: work.attempts + 1 },
      expectedVersion: version,
    }));
    if (await store.write(claims)) {
      claims.forEach(({ work }) => this.#start(work));
    } else {
      await index.read();
    }
  }

  /** Ends waiting work whose deadline has passed as not run. */
  async #endOverdue(overdue: readonly VersionedWork[]): Promise<void> {
    if (overdue.length > 0) {
      const wallTime = this.#dependencies.clock.getWallTime();
      const result = buildPlainResult(Outcome.NotRun, WorkReason.Deadline);
      await this.#dependencies.store.write(
        overdue.map(({ work, version }) => ({
          work: buildEnded(work, result, wallTime),
          expectedVersion: version,
        })),
      );
    }
  }

  /** Resolves claimed work that is not running: its owner is lost or its claim got no answer. */
  async #resolveOrphans({ id }: RunnableQueue): Promise<void> {
    const { index, owners, store, clock, getOwner } = this.#dependencies;
    const owner = getOwner();
    const claimed = index
      .list()
      .filter(({ work }) => work.queue === id && work.state === WorkState.Running);
    for (const { work, version } of claimed) {
      if (work.owner === owner && !this.#running.has(work.id)) {
        await this.#startClaimed(work.id, owner);
      } else if (work.owner !== null && owners.isReleased(work.owner)) {
        const resolved = work.isRepeatable
          ? { ...work, state: WorkState.Waiting, owner: null }
          : buildEnded(
              work,
              buildPlainResult(Outcome.Unknown, WorkReason.OwnerLost),
              clock.getWallTime(),
            );
        await store.write([{ work: resolved, expectedVersion: version }]);
      }
    }
  }

  /** Starts work whose claim was committed although its answer was lost: nothing was sent yet. */
  async #startClaimed(id: string, owner: string): Promise<void> {
    const current = await this.#dependencies.store.read(id);
    const isOwn = current?.work.state === WorkState.Running && current.work.owner === owner;
    if (current && isOwn && !this.#running.has(id)) {
      this.#start(current.work);
    }
  }

  #start(work: Work): void {
    const abortController = new AbortController();
    this.#running.set(work.id, abortController);
    const task = this.#execute(work, abortController.signal).finally(() => {
      this.#running.delete(work.id);
      this.#tasks.delete(task);
    });
    this.#tasks.add(task);
  }

  async #execute(work: Work, signal: AbortSignal): Promise<void> {
    const { bodies, executor, clock } = this.#dependencies;
    const body = await bodies.get(work.body);
    const attempt: AttemptResult =
      body === null
        ? { outcome: Outcome.NotRun, reason: 'body-unavailable', canRetry: true, answer: null }
        : await executor.run(work, body, signal);
    const stored = await this.#storeResult(work, attempt);
    for (;;) {
      const current = await this.#dependencies.store.read(work.id);
      if (current === null || (current !== undefined && !isSameAttempt(current.work, work))) {
        return;
      }
      if (current !== undefined) {
        const next = this.#buildNextRow(current.work, attempt, stored);
        const isWritten = await this.#dependencies.store.write([
          { work: next, expectedVersion: current.version },
        ]);
        if (isWritten) {
          return;
        }
      }
      await clock.wait(STORE_RETRY_INTERVAL_MS);
    }
  }

  #buildNextRow(
    work: Work,
    { outcome, reason, canRetry }: AttemptResult,
    stored: WorkResult,
  ): Work {
    const wallTime = this.#dependencies.clock.getWallTime();
    const isFinal =
      outcome === Outcome.Completed ||
      !canRetry ||
      work.isCancelRequested ||
      (outcome === Outcome.Unknown && !work.isRepeatable);
    if (isFinal) {
      return buildEnded(work, stored, wallTime);
    }
    const notBefore = wallTime + RUN_RETRY_DELAY_MS;
    if (work.attempts >= MAX_RUN_ATTEMPTS || notBefore >= work.deadlineAt) {
      const finalReason = work.attempts >= MAX_RUN_ATTEMPTS ? WorkReason.TooManyAttempts : reason;
      return buildEnded(work, buildPlainResult(outcome, finalReason), wallTime);
    }
    return { ...work, state: WorkState.Waiting, owner: null, notBefore };
  }

  async #storeResult(work: Work, { outcome, reason, answer }: AttemptResult): Promise<WorkResult> {
    if (answer === null) {
      return buildPlainResult(outcome, reason);
    }
    const { bodies, clock } = this.#dependencies;
    const name = `deferred/${work.id}/answer`;
    let body = await bodies.put(name, answer.body);
    while (body === null) {
      await clock.wait(STORE_RETRY_INTERVAL_MS);
      body = await bodies.put(name, answer.body);
    }
    const { status, contentType } = answer;
    return { outcome, reason, status, contentType, body };
  }
}
