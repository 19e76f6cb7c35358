import type { CallsReport, ReadsTrouble } from './soak/reads';
import type { SoakReport } from './soak/soak';

import { expect } from 'earl';
import { execFile } from 'node:child_process';
import { promisify } from 'node:util';

import { OwnerTrouble, runOtherCalls, runReads } from './soak/reads';
import { runSoak } from './soak/soak';
import { runTakeover, TAKEOVER_TASKS } from './soak/takeover';

const TEST_TIMEOUT_MS = 90_000;
const DURATION_MS = 12_000;
const SEED = 3;

/** Time by which the store answers later while owners are lost, in ms. */
const SLOW_STORE_MS = 272;

/** Time from the first loss of an owner until the end, in ms. */
const WATCH_MS = 8_000;

/** Number of jobs whose states are read at the same time. */
const READ_JOBS = 300;

/** Share of the store's answers that are lost while states are read. */
const LOST_SHARE = 0.4;

/** Least share of the callers that are told the state beside lost answers. */
const MIN_TOLD_BESIDE_LOST = 0.98;

const runFile = promisify(execFile);

async function loseOwners(
  isPlanned: boolean,
  losses: number,
): Promise<{ readonly left: number; readonly lapsed: number }> {
  const { left, lapsed } = await runTakeover({
    isPlanned,
    losses,
    crashesRack: false,
    delayMs: SLOW_STORE_MS,
    watchMs: WATCH_MS,
  });
  return { left, lapsed };
}

const SLOW: Omit<ReadsTrouble, 'owner'> = {
  jobs: READ_JOBS,
  delayMs: SLOW_STORE_MS,
  lostShare: 0,
  seed: SEED,
};

function getToldShare({ told, asked }: CallsReport): number {
  return asked === 0 ? 0 : told / asked;
}

/** Counts the submissions, the cancels and the counts that got no answer in time. */
async function countUnanswered(trouble: ReadsTrouble): Promise<readonly number[]> {
  const { submissions, cancels, counts } = await runOtherCalls({ ...trouble, jobs: 0 });
  return [submissions.nothing, cancels.nothing, counts.nothing];
}

describe('soak of real processes', function () {
  this.timeout(TEST_TIMEOUT_MS);

  let report: SoakReport;

  before(async () => {
    await runFile('npx', ['tsx', 'scripts/build-daemon.ts']);
    report = await runSoak(SEED, DURATION_MS);
  });

  it('answers every request that was sent whole around planned stops, reloads and new configurations', () => {
    expect(report.cut).toEqual([]);
  });

  it('knows and runs every accepted job', () => {
    expect(report.jobsLost).toEqual([]);
  });

  it('runs no task on two workers', () => {
    expect(report.twice).toEqual([]);
  });

  it('ends no process that was not told to end', () => {
    expect(report.ended).toEqual([]);
  });

  it('lets no lease lapse on healthy workers', () => {
    expect(report.lapsed).toEqual([]);
  });

  it('keeps lasting tasks at work through three planned stops of owners beside a slow store', async () => {
    expect(await loseOwners(true, 3)).toEqual({ left: TAKEOVER_TASKS, lapsed: 0 });
  });

  it('keeps lasting tasks at work when the owner is killed beside a slow store', async () => {
    expect(await loseOwners(false, 1)).toEqual({ left: TAKEOVER_TASKS, lapsed: 0 });
  });

  it('tells every caller the state of its job while the owner is paused beside a slow store', async () => {
    expect(getToldShare(await runReads({ ...SLOW, owner: OwnerTrouble.Pause }))).toEqual(1);
  });

  it('tells every caller the state of its job around a planned stop of the owner beside a slow store', async () => {
    expect(getToldShare(await runReads({ ...SLOW, owner: OwnerTrouble.Stop }))).toEqual(1);
  });

  it('tells callers the states of their jobs while the owner is paused and the store loses answers', async () => {
    const trouble = { ...SLOW, owner: OwnerTrouble.Pause, delayMs: 0, lostShare: LOST_SHARE };
    const told = getToldShare(await runReads(trouble));
    expect([told >= MIN_TOLD_BESIDE_LOST, told]).toEqual([true, told]);
  });

  it('answers submissions, cancels and counts in time while the owner is paused beside a slow store', async () => {
    expect(await countUnanswered({ ...SLOW, owner: OwnerTrouble.Pause })).toEqual([0, 0, 0]);
  });

  it('answers submissions, cancels and counts in time while the owner is paused and the store loses answers', async () => {
    const trouble = { ...SLOW, owner: OwnerTrouble.Pause, delayMs: 0, lostShare: LOST_SHARE };
    expect(await countUnanswered(trouble)).toEqual([0, 0, 0]);
  });
});
