import type { Handover } from './BaobabwellControllerHandover';
import type { Host } from './BaobabwellControllerHost';
import type { TermOptions } from './BaobabwellControllerTermOptions';
import type { DurationEstimator, RunProgress } from '@baobabwell/durations';
import type { Run } from '@baobabwell/jobs';

import {
  formatDurations,
  LearnedDurations,
  parseDurations,
  RunCompleteness,
} from '@baobabwell/durations';
import { RunEnd } from '@baobabwell/jobs';
import { DurationSource } from '@baobabwell/metrics';

const FULL_PERCENT = 100;

/** Interval of the log lines on what was learned, in ms. */
const LOG_INTERVAL_MS = 5_000;

const PERCENT = 100;

function round(value: number): number {
  return Math.round(value * PERCENT) / PERCENT;
}

/** Returns the latest progress of a run that did its task from the beginning. */
function findProgress(run: Run): RunProgress | null {
  const { isResumed, isStartKnown, progressPercent, progressedAtMs, startSentAtMs } = run;
  return isResumed || !isStartKnown || progressPercent === 0
    ? null
    : { percent: progressPercent, atElapsedMs: progressedAtMs - startSentAtMs };
}

/** Returns the expected remaining time of a run, in ms. */
export function getRunRemainingMs(run: Run, durations: DurationEstimator, nowMs: number): number {
  const { job, spec } = run.task.step;
  return durations.getRemainingMs(
    job.record.queue,
    spec,
    nowMs - run.startSentAtMs,
    findProgress(run),
  );
}

/** Measures the runs that end during a term, and has the estimator learn from them. */
export class RunDurations {
  readonly estimator: LearnedDurations;

  readonly #options: TermOptions;

  readonly #recordedRuns = new Map<string, number>();

  constructor(options: TermOptions) {
    this.#options = options;
    this.estimator = new LearnedDurations(() => options.clock.getNow());
  }

  /** Registers what was learned with the handover to the next owner. */
  registerHandover(handover: Handover): void {
    const { logger } = this.#options;
    handover.register({
      name: 'durations',
      save: () => formatDurations(this.estimator.listStates()),
      restore: (value, ageMs) => {
        const states = parseDurations(value);
        if (states === null) {
          logger.recordWarning('durations-unreadable', { ageMs: Math.round(ageMs) });
          return;
        }
        this.estimator.restoreStates(states);
        logger.recordInfo('durations-restored', {
          queues: states.length,
          ageMs: Math.round(ageMs),
        });
      },
    });
  }

  /**
   * Records that a host reported the end of a run.
   *
   * @param isPrompt false if the run may have ended some time before the report.
   */
  recordEnd(host: Host, run: Run, end: RunEnd, isPrompt: boolean): void {
    const { step } = run.task;
    const { record } = step.job;
    const durationMs = this.#findDurationMs(host, run);
    if (durationMs === null || step.spec.prefersOneRack) {
      return;
    }
    const isWhole = end === RunEnd.Done && isPrompt && !run.isResumed;
    const startedCount = step.spec.taskCount - step.waitingCount;
    const errors = this.estimator.recordRun({
      queue: record.queue,
      step: step.spec,
      durationMs: durationMs / this.#getSlowdown(host, run),
      completeness: isWhole ? RunCompleteness.Whole : RunCompleteness.Partial,
      doneShare: startedCount === 0 ? 1 : step.doneCount / startedCount,
      progress: findProgress(run),
    });
    if (errors !== null) {
      const { durations } = this.#options.metrics;
      const { queue } = record;
      durations.errors.observe({ queue, source: DurationSource.Caller }, errors.caller);
      durations.errors.observe({ queue, source: DurationSource.Learned }, errors.learned);
    }
  }

  /** Records that a run was lost: it was at work at least until its host last answered. */
  recordLoss(host: Host, run: Run): void {
    if (run.startClockMs !== null) {
      this.recordEnd(host, run, RunEnd.LeaseExpired, false);
    }
  }

  /** Logs at an interval what was learned, until the term ends. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#options.clock.wait(LOG_INTERVAL_MS, signal);
      this.#recordLearned();
    }
  }

  #recordLearned(): void {
    this.estimator.listLearned().forEach((learned) => {
      const { queue, runs, callerError, learnedError, progressError, slope } = learned;
      if (runs === (this.#recordedRuns.get(queue) ?? 0)) {
        return;
      }
      this.#recordedRuns.set(queue, runs);
      this.#options.logger.recordInfo('durations-learned', {
        queue,
        runs,
        callerError: round(callerError),
        learnedError: round(learnedError),
        progressError: round(progressError),
        slope: round(slope),
        meanRatio: round(learned.meanRatio),
        medianRatio: round(learned.medianRatio),
        tailRatio: round(learned.tailRatio),
      });
    });
  }

  /** Finds the duration of a run by the clock of its host, otherwise by that of this owner. */
  #findDurationMs(host: Host, run: Run): number | null {
    const { isStartKnown, startClockMs, startSentAtMs, hostBornMs } = run;
    const isSlowed = run.isOnColdHost || run.cpuLimitPercent < FULL_PERCENT;
    const isSameIncarnation = hostBornMs === null || hostBornMs === host.bornMs;
    if (!isStartKnown || isSlowed || !isSameIncarnation) {
      return null;
    }
    return startClockMs === null
      ? this.#options.clock.getNow() - startSentAtMs
      : host.state.lastClockMs - startClockMs;
  }

  /** Returns the factor by which a run was slower than one near its data. */
  #getSlowdown({ listedWorker }: Host, { task }: Run): number {
    const { dataRack } = task.step.spec;
    const isFar = dataRack !== null && listedWorker?.labels.includes(dataRack) === false;
    return isFar ? this.#options.bounds.farFactor : 1;
  }
}
