import type { RunOnHost } from './BaobabwellJobsModel';

/** Suspicion that a task crashes its hosts. */
export enum CrashSuspicion {
  None = 'none',
  /** One host crashed shortly after it had started this task and others. */
  Weak = 'weak',
  /** Several hosts crashed, or one on which no other task had just started. */
  Strong = 'strong',
}

/**
 * Crashes after which a task is given up; an attributed one counts twice. It leaves room for one that a
 * lost owner did not count.
 */
const MAX_CRASHES = 4;

/** The crashes of hosts for which a task may be the cause, by the numbers of its runs there. */
export class TaskCrashes {
  #runs: readonly number[] = [];

  #attributedRuns: readonly number[] = [];

  /** Runs on hosts that are silent: they have crashed, or nothing reaches them. */
  readonly #unconfirmedRuns = new Map<number, RunOnHost>();

  /** Latest runs under which a host crashed: as many as suffice to give a task up. */
  get runs(): readonly number[] {
    return this.#runs;
  }

  /** Those of these runs for which no other task can have caused the crash. */
  get attributedRuns(): readonly number[] {
    return this.#attributedRuns;
  }

  /** Runs whose hosts are silent and may have crashed under them. */
  get unconfirmedRuns(): readonly RunOnHost[] {
    return [...this.#unconfirmedRuns.values()];
  }

  get suspicion(): CrashSuspicion {
    const count = this.#runs.length + this.#unconfirmedRuns.size;
    if (count === 0) {
      return CrashSuspicion.None;
    }
    return count > 1 || this.#attributedRuns.length > 0
      ? CrashSuspicion.Strong
      : CrashSuspicion.Weak;
  }

  /** True when the task has crashed so many hosts that it must not be started again. */
  get areTooMany(): boolean {
    return this.#runs.length + this.#attributedRuns.length >= MAX_CRASHES;
  }

  /** Records that a host crashed under a run; returns false if that was recorded before. */
  record(runNumber: number, isAttributed: boolean): boolean {
    this.#unconfirmedRuns.delete(runNumber);
    if (this.#runs.includes(runNumber)) {
      return false;
    }
    this.#runs = [...this.#runs, runNumber].slice(-MAX_CRASHES);
    if (isAttributed) {
      this.#attributedRuns = [...this.#attributedRuns, runNumber].slice(-MAX_CRASHES);
    }
    return true;
  }

  /** Adds a run whose host is silent and may have crashed under it. */
  addUnconfirmed(run: RunOnHost): void {
    if (!this.#runs.includes(run.number)) {
      this.#unconfirmedRuns.set(run.number, run);
    }
  }

  /** Removes a run whose host turned out not to have crashed under it. */
  removeUnconfirmed(runNumber: number): void {
    this.#unconfirmedRuns.delete(runNumber);
  }

  restore(runs: readonly number[], attributedRuns: readonly number[]): void {
    this.#runs = runs;
    this.#attributedRuns = attributedRuns;
  }
}
