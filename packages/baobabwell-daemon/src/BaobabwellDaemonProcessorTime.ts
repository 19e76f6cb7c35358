import type { Plugin, Undo } from '@baobabwell/kernel';
import type { Logger, LogFields } from '@baobabwell/logging';
import type { DaemonMetrics } from '@baobabwell/metrics';
import type { ProcessorTime } from '@baobabwell/processor-time';
import type { Clock } from '@baobabwell/utils';

import { PerformanceObserver } from 'node:perf_hooks';

import { mergeUndo } from '@baobabwell/kernel';
import { ProcessorTimeReport } from '@baobabwell/processor-time';
import { startRepeatedTimer } from '@baobabwell/utils';

import { LOGGER, METRICS, PROCESSOR_TIME } from './BaobabwellDaemonTokens';

const SECOND_MS = 1_000;

/** Interval between two reports, in ms. */
const REPORT_INTERVAL_MS = 1_000;

/** Share of the time for which the process ran code from which a report is logged. */
const MIN_LOGGED_SHARE = 0.5;

/** Labels of the time of all activities and of everything else, and of garbage collection. */
const ALL = 'all';
const GARBAGE_COLLECTION = 'gc';

/** What the runtime tells of the process so far, in ms. */
export abstract class RuntimeTimes {
  /** Returns the time for which the process ran code. */
  abstract getActiveMs(): number;

  /** Returns the time of garbage collection, which is part of it. */
  abstract getCollectionMs(): number;
}

/** What Node.js tells of this process. */
class NodeRuntimeTimes extends RuntimeTimes {
  #collectionMs = 0;

  readonly #observer = new PerformanceObserver((list) =>
    list.getEntries().forEach(({ duration }) => {
      this.#collectionMs += duration;
    }),
  );

  constructor() {
    super();
    this.#observer.observe({ entryTypes: ['gc'] });
  }

  override getActiveMs(): number {
    return performance.eventLoopUtilization().active;
  }

  override getCollectionMs(): number {
    return this.#collectionMs;
  }

  close(): void {
    this.#observer.disconnect();
  }
}

/**
 * Counts at an interval for how long the process ran code, by activity, and logs it while the process is
 * busy; returns a function that stops this.
 */
export function startProcessorTimeReports(options: {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: DaemonMetrics;
  readonly processorTime: ProcessorTime;
  readonly runtime: RuntimeTimes;
}): Undo {
  const { clock, logger, metrics, processorTime, runtime } = options;
  const report = new ProcessorTimeReport(processorTime);
  let reportedAtMs = clock.getNow();
  let reportedActiveMs = runtime.getActiveMs();
  let reportedCollectionMs = runtime.getCollectionMs();

  function recordReport(): void {
    const nowMs = clock.getNow();
    const activeMs = runtime.getActiveMs();
    const collectionMs = runtime.getCollectionMs();
    const passedMs = nowMs - reportedAtMs;
    const allMs = activeMs - reportedActiveMs;
    const gcMs = collectionMs - reportedCollectionMs;
    reportedAtMs = nowMs;
    reportedActiveMs = activeMs;
    reportedCollectionMs = collectionMs;
    metrics.processorSeconds.inc({ activity: ALL }, Math.max(0, allMs) / SECOND_MS);
    metrics.processorSeconds.inc({ activity: GARBAGE_COLLECTION }, gcMs / SECOND_MS);
    const fields: Record<string, LogFields[string]> = {
      passedMs: Math.round(passedMs),
      allMs: Math.round(allMs),
      gcMs: Math.round(gcMs),
    };
    report.take().forEach(({ spentMs, count }, activity) => {
      metrics.processorSeconds.inc({ activity }, Math.max(0, spentMs) / SECOND_MS);
      fields[activity] = `${Math.round(spentMs)}/${count}`;
    });
    if (allMs >= MIN_LOGGED_SHARE * passedMs) {
      logger.recordInfo('processor-busy', fields);
    }
  }

  return startRepeatedTimer(clock, REPORT_INTERVAL_MS, recordReport);
}

/** Reports the processor time of the process until it closes. */
export const processorTimePlugin: Plugin = {
  name: 'processor time reports',
  register: () => mergeUndo(),
  async start(kernel) {
    const runtime = new NodeRuntimeTimes();
    const stop = startProcessorTimeReports({
      clock: kernel.clock,
      logger: kernel.getService(LOGGER),
      metrics: kernel.getService(METRICS),
      processorTime: kernel.getService(PROCESSOR_TIME),
      runtime,
    });
    kernel.lifecycle.add('processor time reports', () => {
      stop();
      runtime.close();
    });
  },
};
