import type { SoakReport } from './soak/soak';

import { expect } from 'earl';
import { execFile } from 'node:child_process';
import { promisify } from 'node:util';

import { runSoak } from './soak/soak';
import { runTakeover, TAKEOVER_TASKS } from './soak/takeover';

const TEST_TIMEOUT_MS = 90_000;
const DURATION_MS = 12_000;
const SEED = 3;

/** Time by which the store answers later while owners are lost, in ms. */
const SLOW_STORE_MS = 272;

/** Time from the first loss of an owner until the end, in ms. */
const WATCH_MS = 8_000;

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
});
