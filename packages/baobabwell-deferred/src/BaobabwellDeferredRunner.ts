import type { VersionedWork, Work, WorkResult } from './BaobabwellDeferred';
import type { BodyStore } from './BaobabwellDeferredBodies';
import type { WorkIndex } from './BaobabwellDeferredIndex';
import type { OwnerWatch } from './BaobabwellDeferredOwners';
import type { WorkStore } from './BaobabwellDeferredStore';
import type { ServiceWindow } from '@baobabwell/model';
import type { Clock } from '@baobabwell/utils';

import { Outcome } from '@baobabwell/model';

import { buildEnded, buildPlainResult, isOpen, WorkReason, WorkState } from './BaobabwellDeferred';
import {
  ATTEMPT_WAIT_MS,
  MAX_ATTEMPTS,
  RUNNER_CONCURRENCY,
  RUNNER_INTERVAL_MS,
  STORE_RETRY_MS,
} from './BaobabwellDeferredConstants';
import { isWindowOpen } from './BaobabwellDeferredWindow';

/** How one attempt on a piece of work ended. */
export type AttemptResult = {
  readonly outcome: Outcome;
  readonly reason: string;
  /** Whether the work may run again by itself. */
  readonly mayRetry: boolean;
  readonly answer: {
    readonly status: number;
    readonly contentType: string;
    readonly body: Uint8Array;
  } | null;
};

/** Runs one attempt on a piece of work. Never rejects. */
export abstract class WorkExecutor {
  abstract run(work: Work, body: Uint8Array, signal: AbortSignal): Promise<AttemptResult>;
}

/** A queue whose work this entry runs. */
export type RunnableQueue = {
  readonly id: string;
  readonly window: ServiceWindow | null;
};

/** What the runner works with. */
export type WorkRunnerParts = {
  readonly clock: Clock;
  readonly index: WorkIndex;
  readonly store: WorkStore;
  readonly bodies: BodyStore;
  readonly owners: OwnerWatch;
  readonly executor: WorkExecutor;
  /** This entry and its incarnation. */
  readonly getOwner: () => string;
  /** Queues that this entry is to run now; empty while it must not start work. */
  readonly listQueues: () => readonly RunnableQueue[];
};

/** False once the work has ended or was given to another owner. */
function isSameAttempt(current: Work, { owner, attempts }: Work): boolean {
  return isOpen(current) && current.owner === owner && current.attempts === attempts;
}

/**
 * Runs the deferred work of the queues that fall to this entry. A piece is claimed in its row
 * before anything is sent, so that two entries that both think a queue theirs never run it twice.
 */
export class WorkRunner {
  readonly #parts: WorkRunnerParts;

  readonly #running = new Map<string, AbortController>();

  readonly #tasks = new Set<Promise<void>>();

  readonly #stopped = new AbortController();

  constructor(parts: WorkRunnerParts) {
    this.#parts = parts;
    parts.index.registerListener((work) => {
      if (work.isCancelRequested) {
        this.#running.get(work.id)?.abort();
      }
    });
  }

  /** Number of pieces of work that this entry runs. */
  getRunningCount(): number {
    return this.#running.size;
  }

  /** Starts what may start, until stopped. */
  async run(): Promise<void> {
    const { clock, listQueues } = this.#parts;
    while (!this.#stopped.signal.aborted) {
      for (const queue of listQueues()) {
        await this.#settleOrphans(queue);
        await this.#startQueue(queue);
      }
      await clock.wait(RUNNER_INTERVAL_MS, this.#stopped.signal);
    }
  }

  /** Starts nothing more, and waits until what runs has ended and is stored. */
  async stop(): Promise<void> {
    this.#stopped.abort();
    await Promise.all(this.#tasks);
  }

  async #startQueue({ id, window }: RunnableQueue): Promise<void> {
    const { clock, index, store, getOwner } = this.#parts;
    const wallTime = clock.getWallTime();
    const late = index
      .listStartable(id, wallTime)
      .filter(({ work }) => work.deadlineAt <= wallTime);
    await this.#endLate(late);
    const room = RUNNER_CONCURRENCY - this.#running.size;
    if (room <= 0 || !isWindowOpen(window, wallTime)) {
      return;
    }
    const chosen = index.listStartable(id, wallTime).slice(0, room);
    if (chosen.length === 0) {
      return;
    }
    const owner = getOwner();
    const claims = chosen.map(({ work, version }) => ({
      work: { ...work, state: WorkState.Running, owner, attempts: work.attempts + 1 },
      expectedVersion: version,
    }));
    if (await store.write(claims)) {
      claims.forEach(({ work }) => this.#start(work));
    } else {
      await index.read();
    }
  }

  /** Waiting work that is too late was not run. */
  async #endLate(late: readonly VersionedWork[]): Promise<void> {
    if (late.length > 0) {
      const wallTime = this.#parts.clock.getWallTime();
      const result = buildPlainResult(Outcome.NotRun, WorkReason.Deadline);
      await this.#parts.store.write(
        late.map(({ work, version }) => ({
          work: buildEnded(work, result, wallTime),
          expectedVersion: version,
        })),
      );
    }
  }

  /** Settles claimed work that nobody runs: of a lost owner, or of a claim without an answer. */
  async #settleOrphans({ id }: RunnableQueue): Promise<void> {
    const { index, owners, store, clock, getOwner } = this.#parts;
    const owner = getOwner();
    const claimed = index
      .list()
      .filter(({ work }) => work.queue === id && work.state === WorkState.Running);
    for (const { work, version } of claimed) {
      if (work.owner === owner && !this.#running.has(work.id)) {
        await this.#startClaimed(work.id, owner);
      } else if (work.owner !== null && owners.isReleased(work.owner)) {
        const settled = work.isRepeatable
          ? { ...work, state: WorkState.Waiting, owner: null }
          : buildEnded(
              work,
              buildPlainResult(Outcome.Unknown, WorkReason.OwnerLost),
              clock.getWallTime(),
            );
        await store.write([{ work: settled, expectedVersion: version }]);
      }
    }
  }

  /** Starts work whose claim took effect although its answer was lost: nothing was sent yet. */
  async #startClaimed(id: string, owner: string): Promise<void> {
    const current = await this.#parts.store.read(id);
    const isOwn = current?.work.state === WorkState.Running && current.work.owner === owner;
    if (current && isOwn && !this.#running.has(id)) {
      this.#start(current.work);
    }
  }

  #start(work: Work): void {
    const abort = new AbortController();
    this.#running.set(work.id, abort);
    const task = this.#execute(work, abort.signal).finally(() => {
      this.#running.delete(work.id);
      this.#tasks.delete(task);
    });
    this.#tasks.add(task);
  }

  async #execute(work: Work, signal: AbortSignal): Promise<void> {
    const { bodies, executor, clock } = this.#parts;
    const body = await bodies.get(work.body);
    const attempt: AttemptResult =
      body === null
        ? { outcome: Outcome.NotRun, reason: 'body-unavailable', mayRetry: true, answer: null }
        : await executor.run(work, body, signal);
    const stored = await this.#storeAnswer(work, attempt);
    for (;;) {
      const current = await this.#parts.store.read(work.id);
      if (current === null || (current !== undefined && !isSameAttempt(current.work, work))) {
        return;
      }
      if (current !== undefined) {
        const changed = this.#buildNext(current.work, attempt, stored);
        const isWritten = await this.#parts.store.write([
          { work: changed, expectedVersion: current.version },
        ]);
        if (isWritten) {
          return;
        }
      }
      await clock.wait(STORE_RETRY_MS);
    }
  }

  #buildNext(work: Work, { outcome, reason, mayRetry }: AttemptResult, stored: WorkResult): Work {
    const wallTime = this.#parts.clock.getWallTime();
    const isFinal =
      outcome === Outcome.Completed ||
      !mayRetry ||
      work.isCancelRequested ||
      (outcome === Outcome.Unknown && !work.isRepeatable);
    if (isFinal) {
      return buildEnded(work, stored, wallTime);
    }
    const notBefore = wallTime + ATTEMPT_WAIT_MS;
    if (work.attempts >= MAX_ATTEMPTS || notBefore >= work.deadlineAt) {
      const last = work.attempts >= MAX_ATTEMPTS ? WorkReason.TooManyAttempts : reason;
      return buildEnded(work, buildPlainResult(outcome, last), wallTime);
    }
    return { ...work, state: WorkState.Waiting, owner: null, notBefore };
  }

  async #storeAnswer(work: Work, { outcome, reason, answer }: AttemptResult): Promise<WorkResult> {
    if (answer === null) {
      return buildPlainResult(outcome, reason);
    }
    const { bodies, clock } = this.#parts;
    const name = `deferred/${work.id}/answer`;
    let body = await bodies.put(name, answer.body);
    while (body === null) {
      await clock.wait(STORE_RETRY_MS);
      body = await bodies.put(name, answer.body);
    }
    const { status, contentType } = answer;
    return { outcome, reason, status, contentType, body };
  }
}
