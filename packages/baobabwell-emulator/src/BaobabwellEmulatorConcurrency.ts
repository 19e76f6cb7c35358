import type { LedgerLine } from '@baobabwell/stand-ins';

import { LedgerEvent } from '@baobabwell/stand-ins';

/** Number of a team's tasks that run from `at` until the next step. */
export type ConcurrencyStep = {
  readonly at: number;
  readonly running: number;
  readonly event: LedgerEvent;
};

function isStart({ event }: LedgerLine): boolean {
  return event === LedgerEvent.Started;
}

/**
 * Lists how many tasks of a team ran over time, according to the workers' ledgers. Starts count
 * before ends of the same millisecond, so that an overlap is never missed.
 */
export function listConcurrency(
  ledger: readonly LedgerLine[],
  team: string,
): readonly ConcurrencyStep[] {
  let running = 0;
  return ledger
    .filter((line) => line.team === team)
    .toSorted((a, b) => a.at - b.at || Number(isStart(b)) - Number(isStart(a)))
    .map((line) => {
      running += isStart(line) ? 1 : -1;
      return { at: line.at, running, event: line.event };
    });
}

/** Computes the mean number of a team's running tasks between two times. */
export function measureMeanConcurrency(
  steps: readonly ConcurrencyStep[],
  from: number,
  until: number,
): number {
  const total = steps.reduce((sum, { at, running }, index) => {
    const end = Math.min(until, steps[index + 1]?.at ?? until);
    return sum + running * Math.max(0, end - Math.max(from, at));
  }, 0);
  return total / (until - from);
}
