import type { LedgerLine } from '@baobabwell/stand-ins';

import { LedgerEvent } from '@baobabwell/stand-ins';

/** From `at` on, until the next step, so much work of a team ran. */
export type RunningStep = {
  readonly at: number;
  readonly running: number;
  readonly event: LedgerEvent;
};

function isStart({ event }: LedgerLine): boolean {
  return event === LedgerEvent.Started;
}

/**
 * Lists how much work of a team ran, from the workers' own ledgers. Starts count before ends of
 * the same millisecond, so that an overlap is never hidden.
 */
export function listRunning(ledger: readonly LedgerLine[], team: string): readonly RunningStep[] {
  let running = 0;
  return ledger
    .filter((line) => line.team === team)
    .toSorted((a, b) => a.at - b.at || Number(isStart(b)) - Number(isStart(a)))
    .map((line) => {
      running += isStart(line) ? 1 : -1;
      return { at: line.at, running, event: line.event };
    });
}

/** Computes the work of a team that ran on average between two moments. */
export function measureMeanRunning(
  steps: readonly RunningStep[],
  from: number,
  until: number,
): number {
  const total = steps.reduce((sum, { at, running }, index) => {
    const end = Math.min(until, steps[index + 1]?.at ?? until);
    return sum + running * Math.max(0, end - Math.max(from, at));
  }, 0);
  return total / (until - from);
}
