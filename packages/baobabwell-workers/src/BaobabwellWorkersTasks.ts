import type { Clock } from '@baobabwell/utils';

import {
  MAX_STOP_MS,
  MISSING_TASK_TIMEOUT_MS,
  UNRESPONSIVE_WORKER_TIMEOUT_MS,
} from './BaobabwellWorkersConstants';

type RunningTask = {
  readonly startedAt: number;
  readonly abandoned: AbortController;
  /** Send time of the first of the successive renewals whose replies did not list the task. */
  missingSince: number | null;
};

type TaskStop = {
  readonly since: number;
  readonly confirm: () => void;
  readonly confirmed: Promise<void>;
};

function createTaskStop(since: number): TaskStop {
  let confirm = (): void => {};
  const confirmed = new Promise<void>((resolve) => {
    confirm = resolve;
  });
  return { since, confirm, confirmed };
}

/**
 * Tracks the tasks of this entry on one worker and compares them with the worker's reports. Detects
 * exchanges that will never be answered, and determines when an abandoned task has ended.
 */
export class TaskTracker {
  readonly #clock: Clock;

  readonly #running = new Map<string, RunningTask>();

  readonly #stops = new Map<string, TaskStop>();

  #unansweredSince: number | null = null;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Adds a task that is about to be sent; the signal is aborted when its exchange will never be
   * answered.
   */
  add(taskId: string): AbortSignal {
    const abandoned = new AbortController();
    const startedAt = this.#clock.getNow();
    this.#running.set(taskId, { startedAt, abandoned, missingSince: null });
    return abandoned.signal;
  }

  /**
   * Removes a task whose exchange has ended; if it may still run, the worker is ordered to stop it.
   */
  remove(taskId: string, mayRun: boolean): void {
    this.#running.delete(taskId);
    if (mayRun) {
      this.#stops.set(taskId, createTaskStop(this.#clock.getNow()));
    }
  }

  /** Lists the tasks that the worker has to stop or must not start. */
  listStops(): readonly string[] {
    return [...this.#stops.keys()];
  }

  /** Resolves when a removed task neither runs nor can start any more. */
  async waitForEnd(taskId: string): Promise<void> {
    const stop = this.#stops.get(taskId);
    if (stop === undefined) {
      return;
    }
    const cancelTimer = this.#clock.startTimer(MAX_STOP_MS, () => this.#confirm(taskId));
    await stop.confirmed;
    cancelTimer();
  }

  /**
   * Records the worker's reply to a renewal.
   *
   * @returns whether an exchange was abandoned because the worker did not report its task.
   */
  recordGrant(sentAt: number, tasks: readonly string[], stops: readonly string[]): boolean {
    this.#unansweredSince = null;
    stops.forEach((taskId) => this.#confirm(taskId));
    const reportedTasks = new Set(tasks);
    const missing = [...this.#running]
      .filter(([taskId, task]) => this.#isMissing(task, sentAt, reportedTasks.has(taskId)))
      .map(([, task]) => task);
    missing.forEach(({ abandoned }) => abandoned.abort());
    return missing.length > 0;
  }

  /**
   * Records that a renewal got no reply.
   *
   * @returns whether exchanges were abandoned because the worker was unresponsive for too long.
   */
  recordUnanswered(sentAt: number): boolean {
    this.#unansweredSince ??= sentAt;
    if (this.#clock.getNow() - this.#unansweredSince < UNRESPONSIVE_WORKER_TIMEOUT_MS) {
      return false;
    }
    const hasRunning = this.#running.size > 0;
    this.#running.forEach(({ abandoned }) => abandoned.abort());
    return hasRunning;
  }

  #isMissing(task: RunningTask, sentAt: number, isReported: boolean): boolean {
    if (isReported || task.startedAt >= sentAt) {
      Object.assign(task, { missingSince: null });
      return false;
    }
    const missingSince = task.missingSince ?? sentAt;
    Object.assign(task, { missingSince });
    return this.#clock.getNow() - missingSince >= MISSING_TASK_TIMEOUT_MS;
  }

  #confirm(taskId: string): void {
    this.#stops.get(taskId)?.confirm();
    this.#stops.delete(taskId);
  }
}
