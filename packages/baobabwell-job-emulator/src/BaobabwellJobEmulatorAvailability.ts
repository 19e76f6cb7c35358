import type { StepSpec } from '@baobabwell/jobs';

import { formatTaskName, parseTaskName } from '@baobabwell/jobs';

/** Time after which a long running task that is not at work counts as away, in ms. */
const NOTICE_MS = 5_500;

type Absence = {
  readonly sinceMs: number;
  /** True when a stop, a move or maintenance ended the task. */
  readonly isOrdered: boolean;
};

/** Tracks the long running tasks that are away, and checks the orders that end others of their step. */
export class AvailabilityTracker {
  readonly #findStep: (task: string) => StepSpec | null;

  readonly #recordViolation: (task: string, atMs: number, detail: string) => void;

  readonly #atWork = new Set<string>();

  /** Tasks that were at work before. */
  readonly #absences = new Map<string, Absence>();

  readonly #cancelledJobs = new Set<string>();

  constructor(
    findStep: (task: string) => StepSpec | null,
    recordViolation: (task: string, atMs: number, detail: string) => void,
  ) {
    this.#findStep = findStep;
    this.#recordViolation = recordViolation;
  }

  recordCancel(jobId: string): void {
    this.#cancelledJobs.add(jobId);
  }

  recordAtWork(task: string): void {
    this.#atWork.add(task);
    this.#absences.delete(task);
  }

  /** Records that a stop, a move or maintenance ends a task. */
  recordOrderedEnd(task: string, atMs: number): void {
    const step = this.#findStep(task);
    const name = parseTaskName(task);
    if (step?.isLasting !== true || name === null || !this.#atWork.delete(task)) {
      return;
    }
    const away = Array.from({ length: step.taskCount }, (_, index) =>
      formatTaskName({ ...name, index }),
    ).filter((other) => other !== task && this.#isAway(other, atMs));
    this.#absences.set(task, { sinceMs: atMs, isOrdered: true });
    const isChecked = step.maxAway > 0 && !this.#cancelledJobs.has(name.jobId);
    if (isChecked && away.length >= step.maxAway) {
      this.#recordViolation(task, atMs, `away: ${away.join()}`);
    }
  }

  recordEnd(task: string, atMs: number): void {
    if (this.#atWork.delete(task)) {
      this.#absences.set(task, { sinceMs: atMs, isOrdered: false });
    }
  }

  #isAway(task: string, atMs: number): boolean {
    const absence = this.#absences.get(task);
    return absence !== undefined && (absence.isOrdered || atMs - absence.sinceMs >= NOTICE_MS);
  }
}
