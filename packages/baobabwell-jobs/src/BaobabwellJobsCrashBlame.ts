/**
 * Load pattern: a task crashes each host that starts it, beside tens of tasks that do not, and hosts crash
 * for other reasons. The neighbours lose their runs too, so a crash alone proves nothing against a task.
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
  /** Hosts crashed lately although no task had just started there. */
  readonly hasOtherCrashes: boolean;
};

/** Result of {@link decideCrashBlame}. */
export type CrashBlame = {
  /** Runs whose tasks may have caused the crash. */
  readonly suspects: readonly Run[];
  /** True when the only suspect must be the cause, unless the crash was a coincidence. */
  readonly isAttributed: boolean;
};

/**
 * Decides which runs may have crashed their host: those that had just started when it became silent. A
 * suspect among them does not clear the others, or one such task would hide the crashes of another.
 */
export function decideCrashBlame({
  runs,
  isConfirmed,
  hasCommonCause,
  hasOtherCrashes,
}: HostCrash): CrashBlame {
  const suspects = runs
    .filter(({ hasSurvivedStart, wasSilentAtStart }) => !hasSurvivedStart && wasSilentAtStart)
    .map(({ run }) => run);
  const [first] = suspects;
  return {
    suspects,
    isAttributed:
      suspects.length === 1 &&
      first?.isRestored === false &&
      first.startClockMs !== null &&
      isConfirmed &&
      !hasCommonCause &&
      !hasOtherCrashes,
  };
}
