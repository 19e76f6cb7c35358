/**
 * Load pattern: best-effort tasks use CPU time that serving tasks on their host leave idle, and drive
 * up the tail latencies of those tasks within seconds. The CPU limit of all best-effort tasks on a host
 * drops fast when a tail latency nears its target, and rises slowly while all are well below.
 */
import type { TermContext } from './BaobabwellControllerContext';
import type { Host } from './BaobabwellControllerHost';
import type { Run } from '@baobabwell/jobs';

import { RunPhase } from '@baobabwell/jobs';

/** Share of its target above which a tail latency lowers the CPU limit of best-effort tasks. */
const REDUCE_ABOVE_SHARE = 0.9;

/** Share of their targets below which all tail latencies must be before the CPU limit rises. */
const RAISE_BELOW_SHARE = 0.65;

const REDUCTION_FACTOR = 0.5;
const RAISE_STEP_PERCENT = 15;
const FULL_PERCENT = 100;

/** CPU limit below which best-effort tasks make no useful progress and are paused, in percent. */
const MIN_PERCENT = 10;

/** Shortest interval between two changes, in ms: a reading covers the half second before it. */
const MIN_CHANGE_INTERVAL_MS = 600;

/**
 * Decides the CPU limit of the best-effort tasks on a host, in percent, from the highest ratio of a tail
 * latency to its target.
 */
export function decideCpuLimitPercent(percent: number, worstShare: number): number {
  if (worstShare > REDUCE_ABOVE_SHARE) {
    const reduced = Math.floor(
      percent * (worstShare > 1 ? REDUCTION_FACTOR / 2 : REDUCTION_FACTOR),
    );
    return reduced < MIN_PERCENT ? 0 : reduced;
  }
  return worstShare < RAISE_BELOW_SHARE
    ? Math.min(FULL_PERCENT, percent + RAISE_STEP_PERCENT)
    : percent;
}

/** Adjusts the CPU limit of the best-effort tasks on one host. */
export class BestEffortThrottle {
  readonly #context: TermContext;

  readonly #host: Host;

  #percent = FULL_PERCENT;

  #changedAtMs = 0;

  constructor(context: TermContext, host: Host) {
    this.#context = context;
    this.#host = host;
  }

  /** Updates the CPU limit by the latest readings and orders it for each run that has another one. */
  apply(): void {
    const { clock, logger } = this.#context;
    const runs = [...this.#host.runs.values()].filter(({ phase }) => phase === RunPhase.Running);
    const bestEffort = runs.filter(({ task }) => task.step.spec.isFilling);
    if (bestEffort.length === 0) {
      return;
    }
    const worstShare = Math.max(
      0,
      ...runs
        .filter(({ task, reading }) => task.step.spec.tailTargetMs > 0 && reading !== null)
        .map(({ task, reading }) => (reading ?? 0) / task.step.spec.tailTargetMs),
    );
    const nowMs = clock.getNow();
    if (nowMs - this.#changedAtMs >= MIN_CHANGE_INTERVAL_MS) {
      const percent = decideCpuLimitPercent(this.#percent, worstShare);
      if (percent !== this.#percent) {
        logger.recordInfo('pace-changed', {
          host: this.#host.incarnation.id,
          from: this.#percent,
          to: percent,
          worstShare: Number(worstShare.toFixed(2)),
        });
        this.#percent = percent;
        this.#changedAtMs = nowMs;
      }
    }
    bestEffort
      .filter(({ cpuLimitPercent }) => cpuLimitPercent !== this.#percent)
      .forEach((run) => {
        void this.#setCpuLimit(run);
      });
  }

  async #setCpuLimit(run: Run): Promise<void> {
    const { orders, term, logger } = this.#context;
    const throttled = run;
    const before = run.cpuLimitPercent;
    const percent = this.#percent;
    throttled.cpuLimitPercent = percent;
    const { task, number } = run;
    const order = { task: task.name, run: number, epoch: term.epoch, percent };
    const reply = await orders.setCpuLimit(this.#host.incarnation, order);
    if (!reply.ok) {
      throttled.cpuLimitPercent = before;
      logger.recordWarning('pace-refused', {
        task: task.name,
        run: number,
        refusal: reply.error.kind,
        cause: reply.error.cause,
      });
    }
  }
}
