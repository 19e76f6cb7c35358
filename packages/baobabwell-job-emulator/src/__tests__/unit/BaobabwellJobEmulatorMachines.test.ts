import { expect } from 'earl';

import { MACHINE_ORDERS_TABLE } from '@baobabwell/controller';
import { WaveState } from '@baobabwell/fleet';
import { JobState } from '@baobabwell/jobs';

import { CAPACITY, EmulatedJobFleet, formatAnswer, formatRoute, OrderKind } from '../../index';

const SEED = 11;
const START_MS = 2_000;

/** Minimum time between orders of two owners for one machine, in ms, as the fleet configures it. */
const MIN_HANDOVER_MS = 3_000;

const WAVE = { number: 1, durationMs: 25_000, maxDown: 2 };

describe('machines of the emulated fleet', () => {
  let fleet: EmulatedJobFleet;

  function startDaemons(): void {
    ['a', 'b'].forEach((name) => fleet.startDaemon(name));
  }

  /** Submits jobs that require more CPU than the serving hosts have. */
  function submitManyTasks(): readonly string[] {
    return Array.from({ length: 15 }, () =>
      fleet.submit([{ taskCount: 8, need: { cpuMillis: 800, memoryMb: 100, gpus: 0 } }]),
    );
  }

  afterEach(() => fleet.close());

  it('allocates machines when the demand exceeds the capacity of the pool', async () => {
    fleet = new EmulatedJobFleet(SEED, 2);
    const cloud = fleet.createCloud(6);
    startDaemons();
    await fleet.time.advance(START_MS);
    const jobs = submitManyTasks();
    await fleet.time.advance(500);
    expect(cloud.countInPool('ovens') > 2).toEqual(true);
    await fleet.time.advance(6_000);
    const states = await Promise.all(jobs.map(async (id) => fleet.findState(id)));
    expect(states).toEqual(jobs.map(() => JobState.Completed));
    expect(fleet.oracle.violations).toEqual([]);
  });

  it('allocates machines at once when the owner restarts after a power loss', async () => {
    fleet = new EmulatedJobFleet(SEED, 2);
    const cloud = fleet.createCloud(6);
    startDaemons();
    await fleet.time.advance(START_MS);
    const owner = fleet.findOwner() as string;
    ['a', 'b'].forEach((name) => fleet.killDaemon(name));
    fleet.startDaemon(owner);
    await fleet.time.advance(200);
    const before = cloud.countOrders();
    submitManyTasks();
    await fleet.time.advance(1_000);
    expect(cloud.countOrders() > before).toEqual(true);
  });

  it('starts no maintenance by a list of machines from before their workers were replaced', async () => {
    fleet = new EmulatedJobFleet(SEED, 1);
    const cloud = fleet.createCloud(1);
    startDaemons();
    await fleet.time.advance(START_MS);
    cloud.isListUnavailable = true;
    fleet.killHost('host-0');
    await fleet.time.advance(1_000);
    // Only the new worker has room for a task.
    const need = { ...CAPACITY, cpuMillis: 2_000, memoryMb: CAPACITY.memoryMb + 1 };
    const large = { ...CAPACITY, memoryMb: 3 * need.memoryMb };
    const { id } = fleet.startHost('host-0~next', 0, large);
    cloud.addMachine('m-host-0', 'ovens', id);
    const lasting = fleet.submit([{ taskCount: 3, need, isLasting: true, maxAway: 1 }]);
    await fleet.time.advance(600);
    const worker = fleet.listHosts().find((host) => host.id === id);
    expect(worker?.countRuns()).toEqual(3);
    fleet.requestWave({ ...WAVE, machines: ['m-host-0'] });
    await fleet.time.advance(2_000);
    expect(fleet.oracle.violations).toEqual([]);
    expect([await fleet.findState(lasting), worker?.countRuns()]).toEqual([JobState.Running, 3]);
  });

  [false, true].forEach((hasIntents) => {
    const orders = hasIntents ? 'the machines that the former owner ordered' : 'any machine';
    it(`delays the orders of a new owner for ${orders}`, async () => {
      fleet = new EmulatedJobFleet(SEED, 2);
      const cloud = fleet.createCloud(40);
      startDaemons();
      // The first orders of a term are not listed one by one.
      await fleet.time.advance(START_MS + 5_000);
      const owner = fleet.findOwner() as string;
      const next = owner === 'a' ? 'b' : 'a';
      const machines = Array.from({ length: 40 }, (_, index) => `m-spare-${index}`);
      fleet.requestWave({ ...WAVE, maxDown: 10, machines: machines.slice(0, 10) });
      await fleet.time.advance(150);
      expect(cloud.countMaintained(WAVE.number)).toEqual(10);
      fleet.partitionDaemon(owner, true);
      fleet.requestWave({ ...WAVE, number: 2, maxDown: 40, machines });
      if (!hasIntents) {
        fleet.removeRow(MACHINE_ORDERS_TABLE, 'intents');
      }
      while (fleet.findOwner() !== next) {
        await fleet.time.advance(10);
      }
      const takeoverMs = fleet.time.getNow();
      await fleet.time.advance(6_000);
      const firstOrderMs = (cloud.findFirstOrderMs(next) ?? Infinity) - takeoverMs;
      expect(hasIntents ? firstOrderMs < 300 : firstOrderMs > 2_000).toEqual(true);
      const handoverMs = cloud.findMinHandoverMs() ?? 0;
      expect(handoverMs >= MIN_HANDOVER_MS).toEqual(true);
      expect(handoverMs < 1.5 * MIN_HANDOVER_MS).toEqual(true);
    });
  });

  it('completes a wave in time and within its bound, despite long running tasks', async () => {
    fleet = new EmulatedJobFleet(SEED, 4);
    const cloud = fleet.createCloud(2);
    startDaemons();
    await fleet.time.advance(START_MS);
    fleet.submit([{ isLasting: true, estimateMs: 0, maxPerHost: 1, maxAway: 1, taskCount: 3 }]);
    await fleet.time.advance(1_000);
    const machines = ['m-host-0', 'm-host-1', 'm-host-2', 'm-host-3', 'm-spare-0', 'm-spare-1'];
    fleet.requestWave({ ...WAVE, machines });
    await fleet.time.advance(WAVE.durationMs);
    expect(cloud.countMaintained(1)).toEqual(machines.length);
    expect(cloud.maxDownCount <= WAVE.maxDown).toEqual(true);
    expect(fleet.findWaveState(1)).toEqual({ state: WaveState.Completed });
    expect(fleet.oracle.violations).toEqual([]);
  });

  it('starts no task twice when an earlier owner has already done the maintenance', async () => {
    fleet = new EmulatedJobFleet(SEED, 3);
    const cloud = fleet.createCloud(0);
    const machines = ['m-host-0', 'm-host-1', 'm-host-2'];
    machines.forEach((machine) => cloud.recordMaintenance(machine, WAVE.number));
    startDaemons();
    await fleet.time.advance(START_MS);
    fleet.requestWave({ ...WAVE, machines });
    const jobs = [];
    for (let round = 0; round < 20; round += 1) {
      jobs.push(fleet.submit([{ taskCount: 10, estimateMs: 700 }]));
      await fleet.time.advance(300);
    }
    await fleet.time.advance(9_000);
    expect(fleet.oracle.violations).toEqual([]);
    expect(fleet.findWaveState(1)).toEqual({ state: WaveState.Completed });
    const states = await Promise.all(jobs.map(async (id) => fleet.findState(id)));
    expect(states).toEqual(jobs.map(() => JobState.Completed));
  });

  it('does not wait for a host whose machine went down just before a handover', async () => {
    fleet = new EmulatedJobFleet(SEED, 3);
    const cloud = fleet.createCloud(0);
    startDaemons();
    await fleet.time.advance(START_MS);
    const job = fleet.submit([{}, { after: [0] }]);
    await fleet.time.advance(100);
    fleet.requestWave({ ...WAVE, machines: ['m-host-0', 'm-host-1', 'm-host-2'] });
    while (cloud.countMaintained(WAVE.number) === 0) {
      await fleet.time.advance(1);
    }
    // The owner ends before it removes the row of the host.
    await fleet.stopDaemon(fleet.findOwner() as string);
    await fleet.time.advance(2_500);
    expect(fleet.oracle.violations).toEqual([]);
    expect(await fleet.findState(job)).toEqual(JobState.Completed);
  });

  [0, 300].forEach((lateMs) => {
    it(`orders no maintenance of a machine that has not reported to a new owner (answers ${lateMs} ms late)`, async () => {
      fleet = new EmulatedJobFleet(SEED, 4);
      const cloud = fleet.createCloud(0);
      const machines = fleet.listHosts().map(({ id }) => `m-${id}`);
      fleet.submit([{ isLasting: true, estimateMs: 0, maxPerHost: 1, maxAway: 1, taskCount: 4 }]);
      startDaemons();
      await fleet.time.advance(START_MS);
      fleet.requestWave({ ...WAVE, machines });
      await fleet.time.advance(600);
      expect(cloud.countMaintained(WAVE.number)).toEqual(1);
      fleet
        .listHosts()
        .forEach(({ id }) =>
          fleet.faults.lateAnswersMs.set(formatAnswer(OrderKind.Hold, id), lateMs),
        );
      await fleet.stopDaemon(fleet.findOwner() as string);
      await fleet.time.advance(2_000);
      fleet.faults.lateAnswersMs.clear();
      await fleet.time.advance(WAVE.durationMs);
      expect(fleet.oracle.violations).toEqual([]);
      expect(cloud.countMaintained(WAVE.number)).toEqual(machines.length);
    });
  });

  it('orders no maintenance of machines whose long running tasks a former owner keeps at work', async () => {
    fleet = new EmulatedJobFleet(SEED, 4);
    const cloud = fleet.createCloud(0);
    const hostIds = fleet.listHosts().map(({ id }) => id);
    const machines = hostIds.map((id) => `m-${id}`);
    fleet.submit([{ isLasting: true, estimateMs: 0, maxPerHost: 1, maxAway: 1, taskCount: 4 }]);
    startDaemons();
    await fleet.time.advance(START_MS);
    fleet.requestWave({ ...WAVE, machines });
    await fleet.time.advance(600);
    const owner = fleet.findOwner() as string;
    const next = owner === 'a' ? 'b' : 'a';
    fleet.partitionDaemon(owner, true);
    hostIds.forEach((id) => fleet.faults.partitionedRoutes.add(formatRoute(next, id)));
    await fleet.time.advance(7_000);
    fleet.partitionDaemon(owner, false);
    fleet.faults.partitionedRoutes.clear();
    await fleet.time.advance(WAVE.durationMs);
    expect(fleet.oracle.violations).toEqual([]);
    expect(cloud.countMaintained(WAVE.number)).toEqual(machines.length);
  });

  // Guards against LOST: a host that takes no work for as long as no list shows what became of an order for it.
  it('take work again when an order for them was lost and the list stays unavailable', async () => {
    fleet = new EmulatedJobFleet(SEED, 6);
    const cloud = fleet.createCloud(0);
    fleet.startDaemon('a');
    cloud.losesOrders = true;
    for (let waits = 0; waits < 400 && cloud.countOrders() === 0; waits += 1) {
      await fleet.time.advance(10);
    }
    cloud.isListUnavailable = true;
    expect(cloud.countOrders()).toBeGreaterThan(0);
    const listCordoned = () =>
      [...(fleet.findOwnerContext()?.hosts.values() ?? [])].filter(({ isCordoned }) => isCordoned);
    await fleet.time.advance(200);
    expect(listCordoned().length).toBeGreaterThan(0);
    await fleet.time.advance(9_000);
    expect(listCordoned()).toEqual([]);
  });
});
