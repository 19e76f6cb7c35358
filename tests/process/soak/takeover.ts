import { setTimeout as wait } from 'node:timers/promises';

import { createJobBody, createJobId, SoakSite } from './site';

const DAEMONS = 5;
const WORKERS = 9;
const CALM_MS = 3_000;
const START_MS = 20_000;
const POLL_MS = 5;
const CRASHED_RACK = 'r1';

/** Time from the crash of a rack to the loss of the owner, in ms. */
const AFTER_CRASH_MS = 100;

/** Time between two losses of an owner, in ms. */
const BETWEEN_LOSSES_MS = 2_500;

/** Number of lasting tasks of the job. */
export const TAKEOVER_TASKS = 24;

/** What happens to the owners. */
export type Takeover = {
  readonly isPlanned: boolean;
  readonly losses: number;
  readonly crashesRack: boolean;
  /** Time by which the store answers later, from the first trouble on, in ms. */
  readonly delayMs: number;
  /** Time from the first trouble until the end, in ms. */
  readonly watchMs: number;
};

/** What a takeover left of the job. */
export type TakeoverReport = {
  /** Least number of tasks that ran at a time. */
  readonly left: number;
  readonly lapsed: number;
  /** Time from the first trouble until all tasks ran again, in ms; null if they never did. */
  readonly allRunAfterMs: number | null;
};

async function loseOwners(site: SoakSite, { isPlanned, losses }: Takeover): Promise<void> {
  for (let loss = 0; loss < losses; loss += 1) {
    if (loss > 0) {
      await wait(BETWEEN_LOSSES_MS);
    }
    const owner = site.findOwner();
    if (isPlanned) {
      owner?.terminate();
    } else {
      owner?.kill();
    }
  }
}

/** Runs one job of lasting tasks, loses the owner, and reports how many tasks ran on. */
export async function runTakeover(takeover: Takeover): Promise<TakeoverReport> {
  const site = new SoakSite();
  const job = createJobId(1);
  let lapsed = 0;
  const recordEnd = (_task: string, how: string): void => {
    lapsed += how === 'lapsed' ? 1 : 0;
  };
  try {
    const runs = { recordStart: () => {}, recordEnd };
    await site.start({ daemons: DAEMONS, workers: WORKERS }, runs, () => {});
    await site.submitUntilAccepted(job, createJobBody(TAKEOVER_TASKS, null));
    if (!(await site.waitForRuns(job, TAKEOVER_TASKS, START_MS))) {
      throw new Error('the job never ran');
    }
    await wait(CALM_MS);
    site.store.delayMs = takeover.delayMs;
    const startedAtMs = performance.now();
    if (takeover.crashesRack) {
      site.workers.filter(({ rack }) => rack === CRASHED_RACK).forEach((worker) => worker.crash());
      await wait(AFTER_CRASH_MS);
    }
    const lost = loseOwners(site, takeover);
    let left = TAKEOVER_TASKS;
    let shortUntilMs = 0;
    let present = TAKEOVER_TASKS;
    while (performance.now() - startedAtMs < takeover.watchMs) {
      present = site.countRuns(job);
      left = Math.min(left, present);
      shortUntilMs =
        present < TAKEOVER_TASKS ? Math.round(performance.now() - startedAtMs) : shortUntilMs;
      await wait(POLL_MS);
    }
    await lost;
    return { left, lapsed, allRunAfterMs: present < TAKEOVER_TASKS ? null : shortUntilMs };
  } finally {
    await site.close();
  }
}
