import type { Plugin, Undo } from '@baobabwell/kernel';
import type { Logger } from '@baobabwell/logging';
import type { DaemonMetrics } from '@baobabwell/metrics';
import type { Clock } from '@baobabwell/utils';

import { startRepeatedTimer } from '@baobabwell/utils';

import { EVENT_LOOP_DELAY, LOGGER, METRICS } from './BaobabwellDaemonTokens';

const SECOND_MS = 1_000;

/** Time between two timers whose delay is measured, in ms. */
const SAMPLE_INTERVAL_MS = 100;

/** Delay of a timer above which it is logged, in ms; shorter than any timeout of a call. */
const MIN_LOGGED_DELAY_MS = 200;

/** Shortest time between two log lines, in ms. */
const LOG_INTERVAL_MS = 1_000;

/** Holds by how much timers of the process were late. */
export class EventLoopDelay {
  #longestMs = 0;

  #dueAtMs = Infinity;

  /** Records that a timer ran, and when the next one is due, in ms. */
  record(delayMs: number, nextDueAtMs: number): void {
    this.#longestMs = Math.max(this.#longestMs, delayMs);
    this.#dueAtMs = nextDueAtMs;
  }

  /** Returns the longest delay since the last call, also that of a timer that is still to run, in ms. */
  takeLongestMs(nowMs: number): number {
    const longestMs = Math.max(this.#longestMs, nowMs - this.#dueAtMs);
    this.#longestMs = 0;
    return longestMs;
  }
}

/** Measures how late the timers of the process are; returns a function that stops this. */
export function startEventLoopMonitor(options: {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: DaemonMetrics;
  readonly delay: EventLoopDelay;
}): Undo {
  const { clock, logger, metrics, delay } = options;
  let dueAtMs = clock.getNow() + SAMPLE_INTERVAL_MS;
  let loggedAtMs = -Infinity;

  function recordDelay(delayMs: number): void {
    metrics.eventLoopDelaySeconds.observe(delayMs / SECOND_MS);
    const nowMs = clock.getNow();
    if (delayMs > MIN_LOGGED_DELAY_MS && nowMs - loggedAtMs >= LOG_INTERVAL_MS) {
      loggedAtMs = nowMs;
      logger.recordWarning('event-loop-late', { delayMs: Math.round(delayMs) });
    }
  }

  return startRepeatedTimer(clock, SAMPLE_INTERVAL_MS, () => {
    const delayMs = Math.max(0, clock.getNow() - dueAtMs);
    recordDelay(delayMs);
    dueAtMs = clock.getNow() + SAMPLE_INTERVAL_MS;
    delay.record(delayMs, dueAtMs);
  });
}

/** Measures the delay of the event loop until the process closes. */
export const eventLoopPlugin: Plugin = {
  name: 'event loop monitor',
  register: (kernel) => kernel.registerService(EVENT_LOOP_DELAY, () => new EventLoopDelay()),
  async start(kernel) {
    const stop = startEventLoopMonitor({
      clock: kernel.clock,
      logger: kernel.getService(LOGGER),
      metrics: kernel.getService(METRICS),
      delay: kernel.getService(EVENT_LOOP_DELAY),
    });
    kernel.lifecycle.add('event loop monitor', stop);
  },
};
