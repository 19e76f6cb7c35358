import { expect } from 'earl';

import { JobState } from '@baobabwell/jobs';

import { EmulatedJobFleet, formatRoute, NO_STORE_FAULTS } from '../../index';

const SEED = 13;
const START_MS = 1_500;
const HOST_COUNT = 6;
const STEP_MS = 50;

/** Time after a takeover by which the tasks of a dark rack are started elsewhere, in ms. */
const RACK_BOUND_MS = 7_000;

/** The same while half of the hosts are dark: they may obey a former owner for longer. */
const HALF_BOUND_MS = 12_500;

describe('answers of most hosts of the emulated fleet', () => {
  let fleet: EmulatedJobFleet;

  async function start(): Promise<void> {
    fleet = new EmulatedJobFleet(SEED, HOST_COUNT);
    ['a', 'b', 'c'].forEach((name) => fleet.startDaemon(name));
    await fleet.time.advance(START_MS);
  }

  function listHostsWithRuns(): readonly string[] {
    return fleet
      .listHosts()
      .filter((host) => host.countRuns() > 0)
      .map(({ id }) => id);
  }

  /** Waits for a takeover, and returns the time from then until a task is started again, in ms. */
  async function measureRestart(): Promise<number> {
    const { startCount } = fleet.oracle;
    while (fleet.findOwner() === null) {
      await fleet.time.advance(STEP_MS);
    }
    const takeoverAtMs = fleet.time.getNow();
    while (fleet.oracle.startCount === startCount) {
      await fleet.time.advance(STEP_MS);
    }
    return fleet.time.getNow() - takeoverAtMs;
  }

  afterEach(() => fleet.close());

  it('keep long running tasks and long runs at work while the store is down for 8 s', async () => {
    await start();
    const long = fleet.submit([{ taskCount: 1, estimateMs: 14_000 }]);
    fleet.submit([{ isLasting: true, estimateMs: 0, maxPerHost: 1, maxAway: 1, taskCount: 2 }]);
    await fleet.time.advance(1_000);
    expect(listHostsWithRuns().length <= HOST_COUNT / 2).toEqual(true);
    fleet.rows.faults = { ...NO_STORE_FAULTS, isDown: true };
    await fleet.time.advance(8_000);
    fleet.rows.faults = NO_STORE_FAULTS;
    await fleet.time.advance(7_000);
    expect(fleet.oracle.startCount).toEqual(3);
    expect(await fleet.findState(long)).toEqual(JobState.Completed);
    expect(fleet.oracle.violations).toEqual([]);
  });

  it('keep runs at work during an outage of the store in which a third of the hosts is dark', async () => {
    await start();
    const long = fleet.submit([{ taskCount: 4, maxPerHost: 1, estimateMs: 14_000 }]);
    await fleet.time.advance(1_000);
    const used = listHostsWithRuns();
    const dark = fleet
      .listHosts()
      .map(({ id }) => id)
      .filter((id) => !used.includes(id));
    expect(dark.length).toEqual(HOST_COUNT / 3);
    dark.forEach((id) => fleet.faults.partitionedHosts.add(id));
    fleet.rows.faults = { ...NO_STORE_FAULTS, isDown: true };
    await fleet.time.advance(8_000);
    fleet.rows.faults = NO_STORE_FAULTS;
    await fleet.time.advance(7_000);
    expect(fleet.oracle.startCount).toEqual(4);
    expect(await fleet.findState(long)).toEqual(JobState.Completed);
    expect(fleet.oracle.violations).toEqual([]);
  });

  it('let a former owner keep the runs of hosts none of which its successor can reach', async () => {
    await start();
    const owner = fleet.findOwner() as string;
    const job = fleet.submit([{ taskCount: 4, maxPerHost: 1, estimateMs: 25_000 }]);
    await fleet.time.advance(1_000);
    fleet.partitionDaemon(owner, true);
    ['a', 'b', 'c']
      .filter((name) => name !== owner)
      .forEach((name) =>
        fleet
          .listHosts()
          .forEach(({ id }) => fleet.faults.partitionedRoutes.add(formatRoute(name, id))),
      );
    await fleet.time.advance(9_500);
    fleet.faults.partitionedRoutes.clear();
    fleet.partitionDaemon(owner, false);
    await fleet.time.advance(20_000);
    expect(fleet.oracle.startCount).toEqual(4);
    expect(await fleet.findState(job)).toEqual(JobState.Completed);
    expect(fleet.oracle.violations).toEqual([]);
  });

  it('let a former owner restart no run that it takes for expired while its successor keeps it', async () => {
    await start();
    const owner = fleet.findOwner() as string;
    fleet.submit([{ isLasting: true, estimateMs: 0, taskCount: 3, maxPerHost: 1 }]);
    await fleet.time.advance(1_000);
    const used = listHostsWithRuns();
    expect(used.length).toEqual(HOST_COUNT / 2);
    fleet.partitionDaemon(owner, true);
    fleet.listHosts().forEach(({ id }) => {
      const cutOff = used.includes(id) ? [owner] : ['a', 'b', 'c'].filter((name) => name !== owner);
      cutOff.forEach((name) => fleet.faults.partitionedRoutes.add(formatRoute(name, id)));
    });
    await fleet.time.advance(8_000);
    expect(fleet.oracle.violations).toEqual([]);
    fleet.faults.partitionedRoutes.clear();
    fleet.partitionDaemon(owner, false);
    await fleet.time.advance(30_000);
    expect(listHostsWithRuns()).toEqual(used);
    expect(fleet.oracle.violations).toEqual([]);
  });

  it('end the term of a former owner whose runs are on hosts that its successor cannot reach', async () => {
    await start();
    const owner = fleet.findOwner() as string;
    const job = fleet.submit([{ taskCount: 2, maxPerHost: 1, estimateMs: 25_000 }]);
    await fleet.time.advance(1_000);
    const used = listHostsWithRuns();
    fleet.partitionDaemon(owner, true);
    ['a', 'b', 'c']
      .filter((name) => name !== owner)
      .forEach((name) =>
        used.forEach((id) => fleet.faults.partitionedRoutes.add(formatRoute(name, id))),
      );
    await fleet.time.advance(6_000);
    const lost = fleet.logLines.filter((line) => line.includes('ownership-lost'));
    expect(lost.map((line) => line.includes(`daemon=${owner} `))).toEqual([true]);
    await fleet.time.advance(6_000);
    fleet.faults.partitionedRoutes.clear();
    fleet.partitionDaemon(owner, false);
    await fleet.time.advance(30_000);
    expect(await fleet.findState(job)).toEqual(JobState.Completed);
    expect(fleet.oracle.violations).toEqual([]);
  });

  [
    { darkCount: 2, minMs: 0, maxMs: RACK_BOUND_MS },
    { darkCount: 3, minMs: RACK_BOUND_MS, maxMs: HALF_BOUND_MS },
  ].forEach(({ darkCount, minMs, maxMs }) => {
    it(`decide when tasks are started again after a takeover with ${darkCount} of ${HOST_COUNT} hosts dark`, async () => {
      await start();
      const job = fleet.submit([{ taskCount: HOST_COUNT, maxPerHost: 2, estimateMs: 25_000 }]);
      await fleet.time.advance(1_000);
      const dark = fleet.listHosts().slice(0, darkCount);
      dark.forEach(({ id }) => fleet.faults.partitionedHosts.add(id));
      fleet.killDaemon(fleet.findOwner() as string);
      const restartMs = await measureRestart();
      expect(restartMs > minMs && restartMs < maxMs).toEqual(true);
      await fleet.time.advance(40_000);
      expect(await fleet.findState(job)).toEqual(JobState.Completed);
      expect(fleet.oracle.violations).toEqual([]);
    });
  });
});
