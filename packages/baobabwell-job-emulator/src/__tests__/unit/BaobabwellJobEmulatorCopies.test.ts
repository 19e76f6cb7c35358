import { expect } from 'earl';

import { JobState } from '@baobabwell/jobs';

import { EmulatedJobFleet } from '../../index';

const SEED = 11;
const START_MS = 1_500;
const TASK_MS = 1_000;
const SLOW_FACTOR = 12;
const COPIED = { taskCount: 8, estimateMs: TASK_MS, isSpeculative: true };

describe('copies of runs on the emulated fleet', () => {
  let fleet: EmulatedJobFleet;

  /** Starts a fleet on which one host is slow, and has it learn how long tasks run. */
  async function start(): Promise<void> {
    fleet = new EmulatedJobFleet(SEED, 4);
    ['a', 'b', 'c'].forEach((name) => fleet.startDaemon(name));
    await fleet.time.advance(START_MS);
    for (let count = 0; count < 16; count += 1) {
      fleet.submit([{ taskCount: 1, estimateMs: TASK_MS + 60 * count }]);
    }
    await fleet.time.advance(4 * TASK_MS);
    fleet.listHosts().forEach((emulatedHost, index) => {
      const host = emulatedHost;
      host.durationFactor = index === 0 ? SLOW_FACTOR : 1;
    });
  }

  function countLogged(event: string): number {
    return fleet.logLines.filter((line) => line.includes(event)).length;
  }

  async function expectCompleted(job: string): Promise<void> {
    expect(fleet.oracle.violations).toEqual([]);
    expect(await fleet.findState(job)).toEqual(JobState.Completed);
  }

  afterEach(() => fleet.close());

  it('ends a job early by copies of the runs on a slow host', async () => {
    await start();
    const job = fleet.submit([{ ...COPIED, maxPerHost: 2 }]);
    await fleet.time.advance(6 * TASK_MS);
    await expectCompleted(job);
    expect(countLogged('event=copy-started')).toBeGreaterThan(0);
    expect(countLogged('event=won')).toBeGreaterThan(0);
  });

  it('copies no run of a step that may not be copied', async () => {
    await start();
    const job = fleet.submit([{ ...COPIED, isSpeculative: false, maxPerHost: 2 }]);
    await fleet.time.advance(6 * TASK_MS);
    expect(await fleet.findState(job)).toEqual(JobState.Running);
    expect(countLogged('event=copy-started')).toEqual(0);
    await fleet.time.advance(SLOW_FACTOR * TASK_MS);
    await expectCompleted(job);
  });

  // Guards against QUOTA: a run whose copy has ended goes on on a silent host, and a takeover does not count it.
  it('counts the runs of a silent host whose copies have ended after a takeover', async () => {
    await start();
    const job = fleet.submit([{ ...COPIED, maxPerHost: 2 }]);
    const [slow] = fleet.listHosts();
    for (let waits = 0; waits < 400 && countLogged('event=copy-started') === 0; waits += 1) {
      await fleet.time.advance(10);
    }
    fleet.faults.partitionedHosts.add(slow?.id ?? '');
    for (let waits = 0; waits < 400 && countLogged('event=copy-ended') === 0; waits += 1) {
      await fleet.time.advance(10);
    }
    expect(slow?.hasRun(`${job}.0.0.0`)).toEqual(true);
    await fleet.stopDaemon(fleet.findOwner() ?? '');
    await fleet.time.advance(500);
    const sums = fleet.findOwnerContext()?.possibleRuns.sumUnknownResources();
    const running = (slow?.countRuns() ?? 0) * 2_000;
    expect(running).toBeGreaterThan(0);
    expect(sums?.get('guild')?.cpuMillis ?? 0).toBeGreaterThanOrEqual(running);
  });

  it('keeps both runs when their owner is lost, and stops the other after the first end', async () => {
    await start();
    const job = fleet.submit([{ ...COPIED, taskCount: 4, estimateMs: 4 * TASK_MS, maxPerHost: 1 }]);
    for (let waits = 0; waits < 300 && countLogged('event=copy-started') === 0; waits += 1) {
      await fleet.time.advance(100);
    }
    expect(countLogged('event=copy-started')).toBeGreaterThan(0);
    fleet.killDaemon(fleet.findOwner() ?? '');
    await fleet.time.advance(16 * TASK_MS);
    await expectCompleted(job);
    expect(countLogged('event=run-unwanted')).toEqual(0);
    await fleet.time.advance(40 * TASK_MS);
    expect(fleet.oracle.violations).toEqual([]);
  });
});
