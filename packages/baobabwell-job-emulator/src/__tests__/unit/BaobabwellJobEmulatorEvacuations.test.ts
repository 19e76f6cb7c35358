import { expect } from 'earl';

import { EmulatedJobFleet } from '../../index';

const SEED = 7;
const START_MS = 1_500;

/** Number of hosts; half of them are in each of two zones. */
const HOSTS = 4;

/** Four tasks, of which one at a time may be away. */
const LONG_RUNNING = {
  taskCount: 4,
  need: { cpuMillis: 8_000, memoryMb: 1_000, gpus: 0 },
  isLasting: true,
  estimateMs: 0,
  maxAway: 1,
};

describe('evacuations on the emulated fleet', () => {
  let fleet: EmulatedJobFleet;

  async function start(zoneCount: number, names: readonly string[] = ['a']): Promise<void> {
    fleet = new EmulatedJobFleet(SEED, HOSTS, zoneCount);
    names.forEach((name) => fleet.startDaemon(name));
    await fleet.time.advance(START_MS);
  }

  function countLogLines(event: string): number {
    return fleet.logLines.filter((line) => line.includes(event)).length;
  }

  /** Submits jobs for some time, more than the hosts can run at once. */
  async function submitFor(durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 100) {
      fleet.submit([{ taskCount: 8 }]);
      await fleet.time.advance(100);
    }
  }

  function countZones(): readonly number[] {
    return ['north', 'south', 'west'].map((zone) => fleet.countRunsInZone(zone));
  }

  afterEach(() => fleet.close());

  it('starts nothing in an evacuated data centre until it is taken back', async () => {
    await start(2);
    await submitFor(1_000);
    expect(
      countZones()
        .slice(0, 2)
        .every((count) => count > 0),
    ).toEqual(true);
    fleet.evacuate('north');
    await submitFor(6_000);
    expect([countZones()[0], fleet.countRunsInZone('south') > 0]).toEqual([0, true]);
    fleet.withdrawEvacuation('north');
    await submitFor(1_000);
    expect(fleet.countRunsInZone('north') > 0).toEqual(true);
    expect([countLogLines('evacuation-seen'), countLogLines('evacuation-withdrawn')]).toEqual([
      1, 1,
    ]);
    expect(fleet.oracle.violations).toEqual([]);
  });

  it('keeps two overlapping evacuations apart while the owner is lost', async () => {
    await start(3, ['a', 'b']);
    fleet.evacuate('north');
    await submitFor(1_000);
    fleet.evacuate('south');
    fleet.killDaemon(fleet.findOwner() ?? '');
    await submitFor(8_000);
    expect([countZones().slice(0, 2), fleet.countRunsInZone('west') > 0]).toEqual([[0, 0], true]);
    fleet.withdrawEvacuation('north');
    await submitFor(2_000);
    expect([fleet.countRunsInZone('north') > 0, fleet.countRunsInZone('south')]).toEqual([true, 0]);
    expect(fleet.oracle.violations).toEqual([]);
  });

  it('starts work again when the request was removed while the history was compacted', async () => {
    await start(1);
    fleet.evacuate('north');
    await fleet.time.advance(1_000);
    fleet.hangOperatorWatch('a', true);
    fleet.withdrawEvacuation('north');
    fleet.rows.compactHistory();
    await fleet.time.advance(1_000);
    fleet.hangOperatorWatch('a', false);
    await submitFor(3_000);
    expect(countLogLines('store-history-gone') > 0).toEqual(true);
    expect([fleet.countRunsInZone('north') > 0, fleet.oracle.violations]).toEqual([true, []]);
  });

  it('starts nothing anywhere while the owner does not know whether an evacuation is requested', async () => {
    await start(2);
    fleet.delayOperatorTable('a', 9_000);
    fleet.evacuate('north');
    await submitFor(8_000);
    expect([countZones(), countLogLines('starts-suspended')]).toEqual([[0, 0, 0], 1]);
    fleet.delayOperatorTable('a', 0);
    await submitFor(10_000);
    expect([countZones()[0], fleet.countRunsInZone('south') > 0]).toEqual([0, true]);
    expect(fleet.oracle.violations).toEqual([]);
  });

  it("knows of an evacuation although only the watch of the operator's table gets no answer", async () => {
    await start(2);
    fleet.hangOperatorWatch('a', true);
    fleet.evacuate('north');
    await submitFor(8_000);
    expect([countZones()[0], fleet.countRunsInZone('south') > 0]).toEqual([0, true]);
    expect(fleet.oracle.violations).toEqual([]);
  });

  it('moves long running tasks out one after another', async () => {
    await start(2);
    fleet.submit([LONG_RUNNING]);
    await fleet.time.advance(1_000);
    expect(countZones()).toEqual([2, 2, 0]);
    fleet.evacuate('north');
    await fleet.time.advance(4_000);
    expect([countZones(), countLogLines('stop-ordered')]).toEqual([[0, 4, 0], 2]);
    expect(countLogLines('evacuation-progress') <= 5).toEqual(true);
    expect(fleet.oracle.violations).toEqual([]);
  });

  it('leaves long running tasks at work until a spare machine elsewhere has room for them', async () => {
    fleet = new EmulatedJobFleet(SEED, 2, 2);
    const cloud = fleet.createCloud(4);
    fleet.startDaemon('a');
    await fleet.time.advance(START_MS);
    fleet.submit([
      { ...LONG_RUNNING, taskCount: 2, need: { ...LONG_RUNNING.need, cpuMillis: 10_000 } },
    ]);
    await fleet.time.advance(1_000);
    expect(countZones()).toEqual([1, 1, 0]);
    fleet.evacuate('north');
    await fleet.time.advance(1_000);
    expect(countZones()).toEqual([1, 1, 0]);
    await fleet.time.advance(6_000);
    // The emptied machine is switched off, and another one has taken its place.
    expect([countZones(), cloud.countInPool('ovens')]).toEqual([[0, 2, 0], 2]);
    expect(fleet.oracle.violations).toEqual([]);
  });

  it('retries no start on a host whose data centre has been evacuated meanwhile', async () => {
    await start(1);
    fleet.listHosts().forEach(({ id }) => fleet.faults.partitionedHosts.add(id));
    fleet.submit([{ taskCount: 1 }]);
    await fleet.time.advance(100);
    expect(countLogLines('start-ordered')).toEqual(1);
    fleet.evacuate('north');
    await fleet.time.advance(100);
    fleet.faults.partitionedHosts.clear();
    await fleet.time.advance(8_000);
    expect([fleet.oracle.startCount, fleet.oracle.violations]).toEqual([0, []]);
  });
});
