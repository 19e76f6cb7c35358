import { expect } from 'earl';

import { EmulatedJobFleet, formatRoute, NO_STORE_FAULTS } from '../../index';

const HOST_COUNT = 8;
const TASK_COUNT = 16;
const DAEMONS = ['a', 'b', 'c', 'd', 'e'];

const START_MS = 1_500;
const CALM_MS = 3_000;

/** Time between two losses of an owner, in ms: a takeover and a load beside the slow store fit into it. */
const TURN_MS = 4_500;

/** Time after the last loss of an owner for which runs are counted, in ms. */
const AFTER_MS = 8_000;

/** Bound on the first renewal of a lease, in ms: two calls to a host, and no answer of the slow store. */
const MAX_FIRST_LEASE_MS = 100;

/** The same after a planned stop, in ms: half of the time for which the former owner goes on renewing. */
const MAX_RELEASED_FIRST_LEASE_MS = 1_750;

const SAMPLE_MS = 20;

const LASTING = { isLasting: true, estimateMs: 0, taskCount: TASK_COUNT };

describe('takeovers of the emulated fleet beside a slow store', () => {
  let fleet: EmulatedJobFleet;

  function countRuns(): number {
    return fleet.listHosts().reduce((count, host) => count + host.countRuns(), 0);
  }

  /** Advances the time and returns the least number of runs meanwhile. */
  async function countLeastRuns(durationMs: number): Promise<number> {
    let least = countRuns();
    for (let passedMs = 0; passedMs < durationMs; passedMs += SAMPLE_MS) {
      await fleet.time.advance(SAMPLE_MS);
      least = Math.min(least, countRuns());
    }
    return least;
  }

  /** Starts a job of tasks that last on healthy hosts; once it has run for a while, the store is slow. */
  async function startLastingTasks(seed: number, slowMs: number, sinceMs: number): Promise<void> {
    fleet = new EmulatedJobFleet(seed, HOST_COUNT);
    DAEMONS.forEach((name) => fleet.startDaemon(name));
    await fleet.time.advance(START_MS);
    fleet.submit([LASTING]);
    await fleet.time.advance(CALM_MS);
    expect(countRuns()).toEqual(TASK_COUNT);
    fleet.rows.faults = { ...NO_STORE_FAULTS, slowMs };
    await fleet.time.advance(sinceMs);
  }

  /** Expects that no run ended, and that another process is the owner. */
  async function expectAllRunOn(lossCount: number, loseOwner: () => Promise<void>): Promise<void> {
    const counts: number[] = [];
    for (let loss = 1; loss <= lossCount; loss += 1) {
      await loseOwner();
      counts.push(await countLeastRuns(loss < lossCount ? TURN_MS : AFTER_MS));
    }
    expect(counts).toEqual(Array.from({ length: lossCount }, () => TASK_COUNT));
    expect(fleet.oracle.startCount).toEqual(TASK_COUNT);
    expect(fleet.oracle.violations).toEqual([]);
    expect(fleet.findOwnerContext()?.hosts.size).toEqual(HOST_COUNT);
  }

  async function stopOwner(): Promise<void> {
    await fleet.stopDaemon(fleet.findOwner() ?? '');
  }

  async function killOwner(): Promise<void> {
    fleet.killDaemon(fleet.findOwner() ?? '');
  }

  afterEach(() => fleet.close());

  [130, 270, 400].forEach((slowMs) => {
    [1, 7, 21].forEach((seed) => {
      const title = `store later by ${slowMs} ms, seed ${seed}`;

      it(`end no run when the owner is stopped in good order (${title})`, async () => {
        await startLastingTasks(seed, slowMs, 100);
        await expectAllRunOn(1, stopOwner);
      });

      it(`end no run when three owners are stopped in turn (${title})`, async () => {
        await startLastingTasks(seed, slowMs, 100);
        await expectAllRunOn(3, stopOwner);
      });
    });
  });

  [130, 270].forEach((slowMs) => {
    [1, 7, 21].forEach((seed) => {
      [1, 3].forEach((lossCount) => {
        it(`end no run when owners are lost (${lossCount} in turn, store later by ${slowMs} ms, seed ${seed})`, async () => {
          await startLastingTasks(seed, slowMs, 3_000);
          await expectAllRunOn(lossCount, killOwner);
        });
      });
    });
  });

  [
    // A stopped owner goes on renewing meanwhile.
    { title: 'stopped', loseOwner: stopOwner, afterMs: 100, maxMs: MAX_RELEASED_FIRST_LEASE_MS },
    { title: 'lost', loseOwner: killOwner, afterMs: 3_000, maxMs: MAX_FIRST_LEASE_MS },
  ].forEach(({ title, loseOwner, afterMs: slowForMs, maxMs }) => {
    it(`log when a term renewed its first lease, before it is loaded (owner ${title})`, async () => {
      await startLastingTasks(7, 270, slowForMs);
      fleet.logLines.length = 0;
      await expectAllRunOn(1, loseOwner);
      const events = fleet.logLines.filter((line) =>
        / event=(first-lease-renewed|term-loaded) .*epoch=2/.test(line),
      );
      expect(events.map((line) => / event=(\S+)/.exec(line)?.[1])).toEqual([
        'first-lease-renewed',
        'term-loaded',
      ]);
      const [, afterMs] = / afterMs=(\d+) isReconciled=false/.exec(events[0] ?? '') ?? [];
      expect(Number(afterMs) < maxMs).toEqual(true);
    });
  });

  // Guards against TWICE: the former owner renews leases on hosts that its successors do not reach.
  [0, 270].forEach((slowMs) => {
    it(`start no task twice on hosts that only a stopped owner reaches (store later by ${slowMs} ms)`, async () => {
      await startLastingTasks(7, slowMs, 100);
      const owner = fleet.findOwner() ?? '';
      const unreached = fleet
        .listHosts()
        .filter((host) => host.countRuns() > 0)
        .slice(0, 2);
      DAEMONS.filter((name) => name !== owner).forEach((name) =>
        unreached.forEach(({ id }) => fleet.faults.partitionedRoutes.add(formatRoute(name, id))),
      );
      await fleet.stopDaemon(owner);
      await fleet.time.advance(3 * AFTER_MS);
      expect(fleet.oracle.violations).toEqual([]);
      expect(countRuns()).toEqual(TASK_COUNT);
      expect(unreached.map((host) => host.countRuns())).toEqual([0, 0]);
    });
  });
});
