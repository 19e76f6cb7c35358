/**
 * Load pattern: a task crashes each host that starts it, beside tens of tasks that do not. Its
 * neighbours lose their runs with it, so a crash alone proves nothing against one of them.
 */
import type { Run } from './BaobabwellJobsTracking';

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
  readonly #unconfirmedRuns = new Map<number, Run>();

  /** Runs under which a host crashed. */
  get runs(): readonly number[] {
    return this.#runs;
  }

  /** Those of these runs for which no other task can have caused the crash. */
  get attributedRuns(): readonly number[] {
    return this.#attributedRuns;
  }

  /** Runs whose hosts are silent and may have crashed under them. */
  get unconfirmedRuns(): readonly Run[] {
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
    this.#runs = [...this.#runs, runNumber];
    if (isAttributed) {
      this.#attributedRuns = [...this.#attributedRuns, runNumber];
    }
    return true;
  }

  /** Adds a run whose host is silent and may have crashed under it. */
  addUnconfirmed(run: Run): void {
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

/** A run that was lost when its host crashed. */
export type CrashedRun = {
  readonly run: Run;
  /** The host answered after it had started the run. */
  readonly hasSurvivedStart: boolean;
  /** The host became silent shortly after it had started the run. */
  readonly wasSilentAtStart: boolean;
};

/** Runs that were lost when a host crashed. */
export type HostCrash = {
  readonly runs: readonly CrashedRun[];
  /** The process of the host is known to have ended. */
  readonly isConfirmed: boolean;
  /** Other hosts became silent in the same moment. */
  readonly hasCommonCause: boolean;
};

/** Result of {@link decideCrashBlame}. */
export type CrashBlame = {
  /** Runs whose tasks may have caused the crash. */
  readonly suspects: readonly Run[];
  /** True when the only suspect must be the cause, unless the crash was a coincidence. */
  readonly isAttributed: boolean;
};

/**
 * Decides which runs may have crashed their host: those that had just started. A suspect among them does
 * not clear the others, or one such task would hide the crashes of another.
 */
export function decideCrashBlame({ runs, isConfirmed, hasCommonCause }: HostCrash): CrashBlame {
  const starting = runs.filter(({ hasSurvivedStart }) => !hasSurvivedStart);
  const [first] = starting;
  // Long running tasks outlive many crashes of their hosts that have another cause.
  const others = runs.map(({ run }) => run).filter(({ task }) => !task.step.spec.isLasting);
  return {
    suspects: starting.length > 0 ? starting.map(({ run }) => run) : others,
    isAttributed:
      starting.length === 1 &&
      first?.wasSilentAtStart === true &&
      !first.run.isRestored &&
      isConfirmed &&
      !hasCommonCause,
  };
}
