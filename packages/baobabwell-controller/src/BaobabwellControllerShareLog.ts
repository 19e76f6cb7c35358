import type { PoolUsage, ReadyWork } from '@baobabwell/fairness';
import type { Logger } from '@baobabwell/logging';
import type { Clock } from '@baobabwell/utils';

import { getDominantShare } from '@baobabwell/fairness';

import { LOAD_LOG_INTERVAL_MS } from './BaobabwellControllerConstants';

/** Number of organisations that a log line names: those that use most by their weight. */
const MAX_LOGGED_ORGANISATIONS = 4;

const PERCENT = 100;

/** Logs which organisations use a contended pool, at most once a second for each pool. */
export class ShareLog {
  readonly #clock: Clock;

  readonly #logger: Logger;

  readonly #loggedAtMs = new Map<string, number>();

  constructor({ clock, logger }: { readonly clock: Clock; readonly logger: Logger }) {
    this.#clock = clock;
    this.#logger = logger;
  }

  record(
    pool: string,
    { capacity, used }: PoolUsage,
    weights: ReadonlyMap<string, number>,
    work: readonly ReadyWork[],
  ): void {
    const nowMs = this.#clock.getNow();
    if (nowMs - (this.#loggedAtMs.get(pool) ?? -Infinity) < LOAD_LOG_INTERVAL_MS) {
      return;
    }
    this.#loggedAtMs.set(pool, nowMs);
    const waiting = work.filter((item) => item.pool === pool && !item.isExempt);
    const organisations = [...used]
      .map(([name, resources]) => ({
        name,
        weight: weights.get(name) ?? 1,
        usedPercent: Math.round(PERCENT * getDominantShare(resources, capacity)),
        waiting: waiting.filter(({ organisation }) => organisation === name).length,
      }))
      .toSorted((left, right) => right.usedPercent / right.weight - left.usedPercent / left.weight)
      .slice(0, MAX_LOGGED_ORGANISATIONS);
    this.#logger.recordInfo('pool-shares', {
      pool,
      organisations: organisations
        .map((entry) => `${entry.name}:${entry.weight}:${entry.usedPercent}%:${entry.waiting}`)
        .join(' '),
      waiting: waiting.length,
      beyondRate: waiting.filter(({ isBeyondRate }) => isBeyondRate).length,
    });
  }
}
