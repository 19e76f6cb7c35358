import type { Clock } from '@baobabwell/utils';

import { SILENT_TASK_MS, SILENT_WORKER_MS, STOP_BOUND_MS } from './BaobabwellWorkersConstants';

type RunningTask = {
  readonly startedAt: number;
  readonly abandoned: AbortController;
  /** When the first renewal was sent since which the worker does not know the task. */
  missingSince: number | null;
};

type Stop = {
  readonly since: number;
  readonly confirm: () => void;
  readonly confirmed: Promise<void>;
};

function createStop(since: number): Stop {
  let confirm = (): void => {};
  const confirmed = new Promise<void>((resolve) => {
    confirm = resolve;
  });
  return { since, confirm, confirmed };
}

/**
 * The tasks that this entry has on one worker, compared with what the worker reports. Finds
 * exchanges that will never be answered, and knows when a task that was given up has ended.
 */
export class TaskTracker {
  readonly #clock: Clock;

  readonly #running = new Map<string, RunningTask>();

  readonly #stops = new Map<string, Stop>();

  #unansweredSince: number | null = null;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Adds a task that is about to be sent; the signal is aborted when its exchange is silent. */
  add(taskId: string): AbortSignal {
    const abandoned = new AbortController();
    const startedAt = this.#clock.getNow();
    this.#running.set(taskId, { startedAt, abandoned, missingSince: null });
    return abandoned.signal;
  }

  /** Removes a task whose exchange has ended; one that may still run has to be stopped. */
  remove(taskId: string, mayRun: boolean): void {
    this.#running.delete(taskId);
    if (mayRun) {
      this.#stops.set(taskId, createStop(this.#clock.getNow()));
    }
  }

  /** Lists the tasks of which the worker has to be told that they must not run. */
  listStops(): readonly string[] {
    return [...this.#stops.keys()];
  }

  /** Resolves when a removed task runs no more and cannot start any more. */
  async waitForEnd(taskId: string): Promise<void> {
    const stop = this.#stops.get(taskId);
    if (stop === undefined) {
      return;
    }
    const cancelTimer = this.#clock.startTimer(STOP_BOUND_MS, () => this.#confirm(taskId));
    await stop.confirmed;
    cancelTimer();
  }

  /**
   * Records what a worker answered to a renewal.
   *
   * @returns whether an exchange was found silent.
   */
  recordGrant(sentAt: number, tasks: readonly string[], stops: readonly string[]): boolean {
    this.#unansweredSince = null;
    stops.forEach((taskId) => this.#confirm(taskId));
    const known = new Set(tasks);
    const silent = [...this.#running]
      .filter(([taskId, task]) => this.#isSilent(task, sentAt, known.has(taskId)))
      .map(([, task]) => task);
    silent.forEach(({ abandoned }) => abandoned.abort());
    return silent.length > 0;
  }

  /**
   * Records that a renewal was not answered.
   *
   * @returns whether exchanges were abandoned because the worker has been silent for too long.
   */
  recordUnanswered(sentAt: number): boolean {
    this.#unansweredSince ??= sentAt;
    if (this.#clock.getNow() - this.#unansweredSince < SILENT_WORKER_MS) {
      return false;
    }
    const hasRunning = this.#running.size > 0;
    this.#running.forEach(({ abandoned }) => abandoned.abort());
    return hasRunning;
  }

  #isSilent(task: RunningTask, sentAt: number, isKnown: boolean): boolean {
    if (isKnown || task.startedAt >= sentAt) {
      Object.assign(task, { missingSince: null });
      return false;
    }
    const missingSince = task.missingSince ?? sentAt;
    Object.assign(task, { missingSince });
    return this.#clock.getNow() - missingSince >= SILENT_TASK_MS;
  }

  #confirm(taskId: string): void {
    this.#stops.get(taskId)?.confirm();
    this.#stops.delete(taskId);
  }
}
