import type { EmulatedHost } from '../../index';
import type { StepSpec } from '@baobabwell/jobs';

import { expect } from 'earl';

import { JobState } from '@baobabwell/jobs';

import { EmulatedJobFleet } from '../../index';

const SEED = 37;
const START_MS = 1_500;
const HOSTS = 8;
const LABEL = 'kind-b';
const OTHER_LABEL = 'kind-a';
const TASK_MS = 600;
const SLOW_FACTOR = 6.5;
const SLOW_MS = 7_000;

/** Time for which a task may wait although there is room, and as long a time without a fault before it, in ms. */
const MAX_IDLE_MS = 7_000;

/** Longest time after a fault for which a host is ejected where no probe comes, in ms. */
const MAX_EJECTED_MS = 20_000;

/** A task of which a host has room for three, and that is no small probe. */
const LARGE: Partial<StepSpec> = {
  taskCount: 1,
  need: { cpuMillis: 5_000, memoryMb: 100, gpus: 0 },
  estimateMs: TASK_MS,
};

/** Small tasks that may not run on the host, by which the others of its pool show what is usual. */
const OTHER: Partial<StepSpec> = {
  ...LARGE,
  need: { cpuMillis: 500, memoryMb: 100, gpus: 0 },
  hostLabel: OTHER_LABEL,
};

describe('an ejected host of the emulated fleet', () => {
  let fleet: EmulatedJobFleet;
  let bad: EmulatedHost;

  async function start(): Promise<void> {
    fleet = new EmulatedJobFleet(SEED, HOSTS);
    fleet.startDaemon('a');
    await fleet.time.advance(START_MS);
    bad = fleet.listHosts()[0] as EmulatedHost;
    fleet
      .listHosts()
      .forEach((host) =>
        fleet.workers.update(host, { labels: [host === bad ? LABEL : OTHER_LABEL] }),
      );
    await fleet.time.advance(200);
  }

  /** Submits jobs for some time: some that need the label, and many that may run on the other hosts. */
  async function submitFor(
    durationMs: number,
    labelled: Partial<StepSpec>,
  ): Promise<readonly string[]> {
    const jobs: string[] = [];
    for (let atMs = 0; atMs < durationMs; atMs += 100) {
      if (atMs % 600 === 0) {
        jobs.push(fleet.submit([{ ...labelled, hostLabel: LABEL }]));
      }
      fleet.submit([OTHER]);
      fleet.submit([OTHER]);
      await fleet.time.advance(100);
    }
    return jobs;
  }

  function countLines(event: string): number {
    return fleet.logLines.filter((line) => line.includes(`event=${event} `)).length;
  }

  async function expectCompleted(jobs: readonly string[]): Promise<void> {
    const states = await Promise.all(jobs.map(async (id) => fleet.findState(id)));
    expect(states).toEqual(jobs.map(() => JobState.Completed));
    expect(fleet.oracle.violations).toEqual([]);
  }

  /** Slows the host down for a while, in which it is ejected. */
  async function slowDown(step: Partial<StepSpec>): Promise<readonly string[]> {
    bad.durationFactor = SLOW_FACTOR;
    const jobs = await submitFor(SLOW_MS, step);
    expect(countLines('host-ejected')).toBeGreaterThan(0);
    bad.durationFactor = 1;
    return jobs;
  }

  afterEach(() => fleet.close());

  // Each guards against LOST: a host that is out for good, as only small work that ends brought it back.
  it('runs large tasks that only it may run, while it is slow and afterwards', async () => {
    await start();
    const during = await slowDown(LARGE);
    const after = await submitFor(1_500, LARGE);
    await fleet.time.advance(MAX_IDLE_MS);
    await expectCompleted([...during, ...after]);
  });

  it('runs long running tasks that only it may run', async () => {
    await start();
    await slowDown(LARGE);
    const lasting = fleet.submit([{ ...LARGE, isLasting: true, estimateMs: 0, hostLabel: LABEL }]);
    await fleet.time.advance(3_000);
    expect(bad.hasRun(`${lasting}.0.0.0`)).toEqual(true);
  });

  it('runs gangs that only it may run', async () => {
    await start();
    const gang = { ...LARGE, taskCount: 2, isGang: true };
    await slowDown(LARGE);
    const jobs = await submitFor(1_500, gang);
    await fleet.time.advance(MAX_IDLE_MS);
    await expectCompleted(jobs);
  });

  [
    { name: 'tasks that are no small probes', step: LARGE },
    { name: 'gangs', step: { ...LARGE, taskCount: 2, isGang: true } },
    { name: 'tasks near their data', step: { ...LARGE, dataRack: 'r1' } },
    { name: 'long running tasks', step: { ...LARGE, isLasting: true, estimateMs: 0 } },
    { name: 'nothing', step: null },
  ].forEach(({ name, step }) => {
    it(`is admitted again where ${name} came after the fault`, async () => {
      await start();
      await slowDown(LARGE);
      for (let waitedMs = 0; waitedMs < MAX_EJECTED_MS; waitedMs += 500) {
        if (step !== null && waitedMs < 2_000) {
          fleet.submit([step]);
        }
        await fleet.time.advance(500);
      }
      const next = fleet.submit([OTHER]);
      await fleet.time.advance(2_000);
      expect(countLines('host-admitted')).toEqual(countLines('host-ejected'));
      await expectCompleted([next]);
    });
  });

  it('fails no job that only it may run and that fails there for a while', async () => {
    await start();
    bad.shouldFailTask = () => true;
    const needed = fleet.submit([{ ...LARGE, hostLabel: LABEL }]);
    fleet.submit([LARGE]);
    await fleet.time.advance(1_000);
    fleet.submit([{ ...LARGE, hostLabel: LABEL }]);
    await fleet.time.advance(1_500);
    bad.shouldFailTask = () => false;
    const after = fleet.submit([{ ...LARGE, hostLabel: LABEL }]);
    await fleet.time.advance(MAX_IDLE_MS);
    expect(await fleet.findState(after)).toEqual(JobState.Completed);
    expect(await fleet.findState(needed)).not.toEqual(JobState.Running);
    expect(fleet.oracle.violations).toEqual([]);
  });
});
