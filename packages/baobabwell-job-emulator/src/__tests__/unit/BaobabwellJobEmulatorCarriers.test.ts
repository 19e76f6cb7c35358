import type { ProcessorCosts } from '../../index';
import type { StepSpec } from '@baobabwell/jobs';

import { expect } from 'earl';

import { JobState } from '@baobabwell/jobs';
import { Random } from '@baobabwell/utils';

import { EmulatedJobFleet } from '../../index';

const SEEDS = [1, 2, 3];
const HOST_COUNT = 40;
const START_MS = 2_000;
const OWNER = 'a';
const PEERS = ['b', 'c', 'd', 'e'];

/** Time for which jobs are submitted, and within which all have ended after that, in ms. */
const SUBMISSION_MS = 8_000;
const DRAIN_MS = 25_000;

const JOB_INTERVAL_MS = 20;

/** Longest time between two faults, in ms. */
const FAULT_INTERVAL_MS = 600;

/** Longest time for which a process is paused or dead, in ms. */
const MAX_FAULT_MS = 1_500;

/** Time at which the owner is killed, if it is, in ms. */
const TAKEOVER_MS = 5_000;

const TIMEOUT_MS = 90_000;

/** What keeps an owner busy with these jobs. */
const COSTS: ProcessorCosts = {
  startMs: 3.4,
  requestMs: 0.9,
  exchangeMs: 0.9,
  carriedOrderMs: 0.05,
  carriedStartMs: 1.9,
  activitiesMs: { fleet: 4, holds: 1.1, order: 1.6, placement: 2.2, reports: 0.9, storage: 0.9 },
};

const STEP: Partial<StepSpec> = {
  need: { cpuMillis: 100, memoryMb: 100, gpus: 0 },
  taskCount: 4,
  estimateMs: 500,
};

/** Kills or pauses a process for a while. */
function disruptProcess(fleet: EmulatedJobFleet, name: string, random: Random): void {
  const forMs = random.getInteger(MAX_FAULT_MS);
  if (random.getFraction() < 0.5) {
    fleet.killDaemon(name);
    fleet.time.startTimer(forMs, () => fleet.startDaemon(name));
  } else {
    fleet.pauseDaemon(name);
    fleet.time.startTimer(forMs, () => fleet.resumeDaemon(name));
  }
}

/** Emulates a day on which carriers are killed and paused, and maybe the owner. */
async function runDay(seed: number, losesOwner: boolean) {
  const fleet = new EmulatedJobFleet(seed, HOST_COUNT);
  const random = new Random(seed);
  fleet.processorCosts = COSTS;
  fleet.startDaemon(OWNER);
  await fleet.time.advance(START_MS);
  PEERS.forEach((name) => fleet.startDaemon(name));
  const startMs = fleet.time.getNow();
  const jobs: string[] = [];
  let faultAtMs = startMs + START_MS;
  let hasLostOwner = !losesOwner;
  while (fleet.time.getNow() < startMs + SUBMISSION_MS) {
    jobs.push(fleet.submit([STEP]));
    const nowMs = fleet.time.getNow();
    if (nowMs >= faultAtMs) {
      faultAtMs = nowMs + random.getInteger(FAULT_INTERVAL_MS);
      disruptProcess(fleet, PEERS[random.getInteger(PEERS.length)] ?? '', random);
    }
    if (!hasLostOwner && nowMs >= startMs + TAKEOVER_MS) {
      hasLostOwner = true;
      fleet.killDaemon(OWNER);
    }
    await fleet.time.advance(JOB_INTERVAL_MS);
  }
  await fleet.time.advance(DRAIN_MS);
  const states = await fleet.time.settle(
    Promise.all(jobs.map(async (id) => fleet.findState(id))),
    DRAIN_MS,
  );
  fleet.close();
  return {
    unfinishedCount: states.filter((state) => state !== JobState.Completed).length,
    violations: fleet.oracle.violations,
    countLines: (pattern: RegExp) => fleet.logLines.filter((line) => pattern.test(line)).length,
  };
}

describe('emulated processes that carry the orders of an owner', function suite() {
  this.timeout(TIMEOUT_MS);

  it('break no rule when they are killed and paused, and leave no host in doubt', async () => {
    for (const seed of SEEDS) {
      const { unfinishedCount, violations, countLines } = await runDay(seed, false);
      expect(violations).toEqual([]);
      expect(unfinishedCount).toEqual(0);
      expect(countLines(/event=carrier-lost/) > 0).toEqual(true);
      expect(countLines(/event=host-(in-doubt|unreachable)/)).toEqual(0);
    }
  });

  it('break no rule when the owner is killed, too', async () => {
    for (const seed of SEEDS) {
      const { unfinishedCount, violations, countLines } = await runDay(seed, true);
      expect(violations).toEqual([]);
      expect(unfinishedCount).toEqual(0);
      expect(countLines(/event=carriage-started/) > 0).toEqual(true);
    }
  });
});
