import { expect } from 'earl';

import { EmulatedJobFleet, formatAnswer, NO_STORE_FAULTS, OrderKind } from '../../index';

const SEED = 7;
const START_MS = 2_000;

/** Minimum time between orders of two owners for one machine, in ms, as the fleet configures it. */
const MIN_HANDOVER_MS = 3_000;

/** Three tasks on three of four hosts, each with room for more. */
const SPREAD = {
  taskCount: 3,
  maxPerHost: 1,
  estimateMs: 9_000,
  need: { cpuMillis: 100, memoryMb: 10, gpus: 0 },
};

const LASTING = { isLasting: true, estimateMs: 0, maxPerHost: 1, maxAway: 1 };

describe('lateness on the emulated fleet', () => {
  let fleet: EmulatedJobFleet;

  function listLapsedRuns(): readonly string[] {
    return fleet.logLines.filter(
      (line) => line.includes('run-ended') && /leaseExpired|lease-expired|lapsed/i.test(line),
    );
  }

  /** Kills the owner while tasks run on all hosts but one, and expects that none of them runs twice. */
  async function expectSafeTakeover(): Promise<void> {
    // The host listed last receives no task at first.
    fleet.startHost('host-3');
    await fleet.time.advance(500);
    fleet.submit([SPREAD]);
    await fleet.time.advance(500);
    fleet.killDaemon(fleet.findOwner() as string);
    await fleet.time.advance(20_000);
    expect(fleet.oracle.violations).toEqual([]);
  }

  /** Has a host come back while the removal of its row gets no answer. */
  async function returnHostAfterUnansweredRemoval(): Promise<void> {
    fleet = new EmulatedJobFleet(SEED, 3);
    ['a', 'b'].forEach((name) => fleet.startDaemon(name));
    await fleet.time.advance(START_MS);
    fleet.killHost('host-0');
    await fleet.time.advance(4_450);
    fleet.rows.faults = { ...NO_STORE_FAULTS, lostFraction: 1 };
    await fleet.time.advance(300);
    fleet.startHost('host-0');
    await fleet.time.advance(300);
    fleet.rows.faults = NO_STORE_FAULTS;
    await fleet.time.advance(1_000);
  }

  afterEach(() => fleet.close());

  [0, 500, 1_100].forEach((lateMs) => {
    it(`keeps lasting tasks at work although the owner reads answers ${lateMs} ms late`, async () => {
      fleet = new EmulatedJobFleet(SEED, 2);
      fleet.startDaemon('a');
      await fleet.time.advance(START_MS);
      fleet.submit([{ ...LASTING, taskCount: 2 }]);
      await fleet.time.advance(1_000);
      fleet
        .listHosts()
        .forEach(({ id }) =>
          fleet.faults.lateAnswersMs.set(formatAnswer(OrderKind.Hold, id), lateMs),
        );
      await fleet.time.advance(12_000);
      expect(listLapsedRuns()).toEqual([]);
    });
  });

  it('keeps lasting tasks at work on a host that answers every hold but no order to stop', async () => {
    fleet = new EmulatedJobFleet(SEED, 1);
    fleet.startDaemon('a');
    await fleet.time.advance(START_MS);
    fleet.submit([{ ...LASTING, taskCount: 1 }]);
    const cancelled = fleet.submit([{ taskCount: 1, estimateMs: 20_000 }]);
    await fleet.time.advance(1_000);
    fleet.faults.lostOrders.add(formatAnswer(OrderKind.Stop, 'host-0'));
    fleet.cancel(cancelled);
    await fleet.time.advance(5_000);
    expect(listLapsedRuns()).toEqual([]);
  });

  it('moves no lasting task away while the reports on the others are too old to tell', async () => {
    fleet = new EmulatedJobFleet(SEED, 4);
    fleet.createCloud(0);
    fleet.startDaemon('a');
    await fleet.time.advance(START_MS);
    fleet.submit([{ ...LASTING, taskCount: 3 }]);
    await fleet.time.advance(3_000);
    const busy = fleet.listHosts().filter((host) => host.countRuns() > 0);
    busy
      .slice(1)
      .forEach(({ id }) => fleet.faults.lateAnswersMs.set(formatAnswer(OrderKind.Hold, id), 4_000));
    await fleet.time.advance(3_300);
    const machines = [`m-${busy[0]?.id}`];
    fleet.requestWave({ number: 1, durationMs: 25_000, maxDown: 1, machines });
    await fleet.time.advance(600);
    const stops = fleet.logLines.filter((line) => line.includes('stop-ordered'));
    expect([busy.length, stops]).toEqual([3, []]);
  });

  it('runs no task twice after a host departed while its row was being stored', async () => {
    fleet = new EmulatedJobFleet(SEED, 2);
    const cloud = fleet.createCloud(0);
    cloud.recordMaintenance('m-host-0', 1);
    fleet.startHost('host-2');
    ['a', 'b'].forEach((name) => fleet.startDaemon(name));
    await fleet.time.advance(START_MS);
    fleet.killHost('host-0');
    await fleet.time.advance(8_000);
    fleet.requestWave({ number: 1, durationMs: 25_000, maxDown: 2, machines: ['m-host-0'] });
    await fleet.time.advance(500);
    expect(fleet.findOwnerContext()?.hosts.has('host-0')).toEqual(false);
    // The order for maintenance that was done before is answered at once, while the row is stored.
    fleet.rows.faults = { ...NO_STORE_FAULTS, commitAnswerMs: 300 };
    fleet.startHost('host-0');
    await fleet.time.advance(600);
    fleet.rows.faults = NO_STORE_FAULTS;
    await fleet.time.advance(2_000);
    const host = fleet.findOwnerContext()?.hosts.get('host-0');
    const stored = fleet.rows.list({ table: 'hosts' }).map(({ key }) => key);
    await expectSafeTakeover();
    expect(stored.includes('host-0')).toEqual(host?.isRegistered === true);
  });

  it('runs no task twice after a removal of a host row was applied late', async () => {
    await returnHostAfterUnansweredRemoval();
    // The store applies the transaction that got no answer: its condition, the fence, still holds.
    const [fence] = fleet.rows.list({ table: 'ownership', from: 'owner', to: 'owner~' });
    const condition = { table: 'ownership', key: 'owner', version: fence?.version ?? 0 };
    const writes = [{ table: 'hosts', key: 'host-0', value: null }];
    expect(fleet.rows.apply({ conditions: [condition], writes })).toEqual(null);
    await expectSafeTakeover();
  });

  it('keeps the row of a host that came back although the unanswered removal is applied again', async () => {
    await returnHostAfterUnansweredRemoval();
    const removals = fleet.rows.unanswered.filter(({ writes }) =>
      writes.some(({ table, key, value }) => table === 'hosts' && key === 'host-0' && !value),
    );
    const outcomes = removals.map((removal) => fleet.rows.apply(removal));
    const stored = fleet.rows.list({ table: 'hosts' }).map(({ key }) => key);
    expect(removals.length > 0).toEqual(true);
    expect(outcomes.includes(null)).toEqual(false);
    expect(stored).toEqual(['host-0', 'host-1', 'host-2']);
    await expectSafeTakeover();
  });

  it('keeps a minimum delay between machine orders when the takeover was not answered', async () => {
    fleet = new EmulatedJobFleet(SEED, 2);
    const cloud = fleet.createCloud(40);
    ['a', 'b'].forEach((name) => fleet.startDaemon(name));
    await fleet.time.advance(START_MS);
    const owner = fleet.findOwner() as string;
    const submitTasks = (): void => {
      for (let job = 0; job < 30; job += 1) {
        fleet.submit([{ taskCount: 8, need: { cpuMillis: 800, memoryMb: 100, gpus: 0 } }]);
      }
    };
    submitTasks();
    await fleet.time.advance(150);
    fleet.partitionDaemon(owner, true);
    fleet.rows.faults = { ...NO_STORE_FAULTS, lostFraction: 1 };
    const [before] = fleet.rows.list({ table: 'ownership' });
    const waitForTakeover = async (): Promise<void> => {
      for (let waitedMs = 0; waitedMs < 6_000; waitedMs += 10) {
        await fleet.time.advance(10);
        if (fleet.rows.list({ table: 'ownership' })[0]?.version !== before?.version) {
          return;
        }
      }
    };
    await waitForTakeover();
    fleet.rows.faults = NO_STORE_FAULTS;
    for (let round = 0; round < 20; round += 1) {
      submitTasks();
      await fleet.time.advance(400);
    }
    expect((cloud.findMinHandoverMs() ?? Infinity) >= MIN_HANDOVER_MS).toEqual(true);
  });
});
