import type { Deadline } from '@baobabwell/utils';

/**
 * A call that waits for its answer. While it has changed nothing its caller can be told so, and hand the job
 * in again; afterwards the outcome is unknown until it is read.
 */
export class OpenCall {
  readonly deadline: Deadline;

  #mayHaveChanged = false;

  #isAnswered = false;

  constructor(deadline: Deadline) {
    this.deadline = deadline;
  }

  /** Returns true if this call, or an earlier one for the same job, may have changed what is stored. */
  get mayHaveChanged(): boolean {
    return this.#mayHaveChanged;
  }

  /** Records that a change may be stored; returns false, for a call that was answered or is too late, if none may. */
  startChange(): boolean {
    if (this.#isAnswered || this.deadline.hasPassed()) {
      return false;
    }
    this.#mayHaveChanged = true;
    return true;
  }

  /** Records that an earlier call may have changed what is stored of the same job. */
  recordEarlierChange(): void {
    this.#mayHaveChanged = true;
  }

  /** Records that the call was answered: it changes nothing from then on. */
  recordAnswered(): void {
    this.#isAnswered = true;
  }
}
