/**
 * Load pattern: tasks that fill use what serving tasks on their host leave, and drive up their tails
 * within seconds. The pace of all that fills on a host drops fast when a tail nears its target, and
 * rises slowly while all tails are well below.
 */
import type { TermContext } from './BaobabwellControllerContext';
import type { Host } from './BaobabwellControllerHost';
import type { Run } from '@baobabwell/jobs';

import { RunPhase } from '@baobabwell/jobs';

/** Share of its target above which a tail slows what fills. */
const HIGH_SHARE = 0.9;

/** Share of its target below which all tails let what fills work more. */
const LOW_SHARE = 0.65;

const SLOW_FACTOR = 0.5;
const FASTER_STEP_PERCENT = 15;
const FULL_PERCENT = 100;

/** Pace below which what fills does no good and is held still, in percent. */
const LEAST_PERCENT = 10;

/** Least time between two changes, in ms: a reading covers the half second before it. */
const CHANGE_PAUSE_MS = 600;

/** Decides the pace of what fills on a host, from the worst share of a tail in its target. */
export function decidePace(percent: number, worstShare: number): number {
  if (worstShare > HIGH_SHARE) {
    const slower = Math.floor(percent * (worstShare > 1 ? SLOW_FACTOR / 2 : SLOW_FACTOR));
    return slower < LEAST_PERCENT ? 0 : slower;
  }
  return worstShare < LOW_SHARE ? Math.min(FULL_PERCENT, percent + FASTER_STEP_PERCENT) : percent;
}

/** Sets the pace of the tasks that fill on one host. */
export class PaceKeeper {
  readonly #context: TermContext;

  readonly #host: Host;

  #percent = FULL_PERCENT;

  #changedAtMs = 0;

  constructor(context: TermContext, host: Host) {
    this.#context = context;
    this.#host = host;
  }

  /** Looks at the latest readings and orders a pace where it has to change. */
  apply(): void {
    const { clock, logger } = this.#context;
    const runs = [...this.#host.runs.values()].filter(({ phase }) => phase === RunPhase.Running);
    const filling = runs.filter(({ task }) => task.step.spec.isFilling);
    if (filling.length === 0) {
      return;
    }
    const worstShare = Math.max(
      0,
      ...runs
        .filter(({ task, reading }) => task.step.spec.tailTargetMs > 0 && reading !== null)
        .map(({ task, reading }) => (reading ?? 0) / task.step.spec.tailTargetMs),
    );
    const nowMs = clock.getNow();
    if (nowMs - this.#changedAtMs >= CHANGE_PAUSE_MS) {
      const percent = decidePace(this.#percent, worstShare);
      if (percent !== this.#percent) {
        logger.recordInfo('pace-changed', {
          host: this.#host.life.id,
          from: this.#percent,
          to: percent,
          worstShare: Number(worstShare.toFixed(2)),
        });
        this.#percent = percent;
        this.#changedAtMs = nowMs;
      }
    }
    filling
      .filter(({ cpuLimitPercent }) => cpuLimitPercent !== this.#percent)
      .forEach((run) => {
        void this.#setPace(run);
      });
  }

  async #setPace(run: Run): Promise<void> {
    const { orders, term, logger } = this.#context;
    const paced = run;
    const before = run.cpuLimitPercent;
    const percent = this.#percent;
    paced.cpuLimitPercent = percent;
    const { task, number } = run;
    const order = { task: task.name, run: number, epoch: term.epoch, percent };
    const reply = await orders.setPace(this.#host.life, order);
    if (!reply.ok) {
      paced.cpuLimitPercent = before;
      logger.recordWarning('pace-refused', {
        task: task.name,
        run: number,
        refusal: reply.error.kind,
        cause: reply.error.cause,
      });
    }
  }
}
