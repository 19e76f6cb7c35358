import type { Term } from '../../index';
import type { TableError, Transaction } from '@baobabwell/platform';
import type { Result } from '@baobabwell/utils';

import { expect } from 'earl';

import { EmulatedTime } from '@baobabwell/emulator';
import { EmulatedJobStore, EmulatedRows, NO_STORE_FAULTS } from '@baobabwell/job-emulator';
import { Logger, LogLevel } from '@baobabwell/logging';
import { Random } from '@baobabwell/utils';

import { Ownership, OWNERSHIP_TABLE } from '../../index';

const SEED = 3;
const START_MS = 400;

/** Store that counts transactions and the maximum number open at once. */
class CountingStore extends EmulatedJobStore {
  sentCount = 0;

  maxOpenCount = 0;

  #openCount = 0;

  override async commit(transaction: Transaction): Promise<Result<number, TableError>> {
    this.sentCount += 1;
    this.#openCount += 1;
    this.maxOpenCount = Math.max(this.maxOpenCount, this.#openCount);
    const reply = await super.commit(transaction);
    this.#openCount -= 1;
    return reply;
  }
}

describe('Ownership', () => {
  let time: EmulatedTime;
  let rows: EmulatedRows;
  let store: CountingStore;
  let ownership: Ownership;
  let term: Term;

  beforeEach(async () => {
    time = new EmulatedTime();
    rows = new EmulatedRows();
    store = new CountingStore(time, time, new Random(SEED), rows);
    ownership = new Ownership({
      store,
      clock: time,
      logger: new Logger(LogLevel.Error, {}, () => undefined),
      candidate: { name: 'a', incarnation: '1', address: 'a', fitness: 1 },
      listener: {
        startTerm: (started) => {
          term = started;
        },
        endTerm: () => undefined,
      },
    });
    void ownership.run();
    void ownership.runRenewals();
    await time.advance(START_MS);
  });

  afterEach(async () => {
    await time.settle(ownership.stop(), 5_000);
  });

  it('allows starts of jobs accepted before the last renewal for a while after expiry', async () => {
    expect(ownership.findMaxStartableVersion()).toEqual(Infinity);
    store.isPartitioned = true;
    const { version } = rows;
    rows.apply({ conditions: [], writes: [{ table: 'jobs', key: 'later', value: 1 }] });
    await time.advance(2_000);
    expect(ownership.canAct()).toEqual(false);
    expect(ownership.findMaxStartableVersion()).toEqual(version);
    await time.advance(3_500);
    expect(ownership.findMaxStartableVersion()).toEqual(null);
    store.isPartitioned = false;
    await time.advance(1_500);
    expect(ownership.findMaxStartableVersion()).toEqual(Infinity);
  });

  it('adds renewals to other transactions and sends none separately', async () => {
    const before = store.sentCount;
    for (let sent = 0; sent < 50; sent += 1) {
      await time.settle(ownership.commit(term, [], []), 1_000);
      await time.advance(40);
    }
    expect(ownership.canAct()).toEqual(true);
    expect(store.sentCount - before).toEqual(50);
  });

  it('keeps its lease while its transactions conflict with other rows', async () => {
    const stale = [{ table: 'progress', key: 'job', version: 99 }];
    for (let sent = 0; sent < 60; sent += 1) {
      await time.settle(ownership.commit(term, stale, []), 1_000);
      await time.advance(40);
    }
    expect(ownership.canAct()).toEqual(true);
  });

  it('commits nothing after it observed another owner', async () => {
    const successor = {
      name: 'b',
      life: '2',
      address: 'b',
      epoch: 2,
      isReleased: false,
      unloadedTerms: 0,
    };
    rows.apply({
      conditions: [],
      writes: [{ table: OWNERSHIP_TABLE, key: 'owner', value: successor }],
    });
    await time.advance(500);
    expect(ownership.getOwner()).toEqual(successor);
    const before = rows.version;
    const write = { table: 'waves', key: '1', value: 1 };
    const reply = await time.settle(ownership.commit(term, [], [write]), 1_000);
    expect([reply.ok, rows.version]).toEqual([false, before]);
  });

  it('keeps its lease with a slow store, with at most one renewal beside a transaction', async () => {
    rows.faults = { ...NO_STORE_FAULTS, slowMs: 450 };
    store.maxOpenCount = 0;
    for (let round = 0; round < 10; round += 1) {
      await time.settle(ownership.commit(term, [], []), 1_000);
      await time.advance(300);
      expect(ownership.canAct()).toEqual(true);
    }
    expect(store.maxOpenCount <= 2).toEqual(true);
  });
});
