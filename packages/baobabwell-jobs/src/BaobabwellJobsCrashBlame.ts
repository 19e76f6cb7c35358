/**
 * Load pattern: a task crashes each host that starts it, beside tens of tasks that do not. Its
 * neighbours lose their runs with it, so a crash alone proves nothing against one of them.
 */
import type { Run } from './BaobabwellJobsTracking';

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
