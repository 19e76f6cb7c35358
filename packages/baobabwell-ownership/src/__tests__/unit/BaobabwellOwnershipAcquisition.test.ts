import type { Term } from '../../index';

import { expect } from 'earl';

import { EmulatedTime } from '@baobabwell/emulator';
import { EmulatedJobStore, EmulatedRows, NO_STORE_FAULTS } from '@baobabwell/job-emulator';
import { Logger, LogLevel } from '@baobabwell/logging';
import { Random } from '@baobabwell/utils';

import { Ownership, OWNERSHIP_TABLE } from '../../index';

const SEED = 11;

/** Time by which the answers to transactions are late, in ms: within the lease of an owner. */
const LATE_ANSWER_MS = 1_200;

/** Time within which a process that is alone acquires the ownership that nobody holds, in ms. */
const ACQUISITION_MS = 900;

// Guards against LOST: a store that is slow to answer the takeover leaves the fleet without an owner.
describe('a takeover whose transaction is answered late', () => {
  let time: EmulatedTime;
  let rows: EmulatedRows;
  let ownership: Ownership;
  let terms: Term[];

  beforeEach(() => {
    time = new EmulatedTime();
    rows = new EmulatedRows();
    terms = [];
    ownership = new Ownership({
      store: new EmulatedJobStore(time, time, new Random(SEED), rows),
      clock: time,
      logger: new Logger(LogLevel.Error, {}, () => undefined),
      candidate: { name: 'a', incarnation: '1', address: 'a', fitness: 1 },
      listener: {
        startTerm: (term) => {
          terms.push(term);
        },
        endTerm: () => undefined,
      },
    });
    rows.faults = { ...NO_STORE_FAULTS, commitAnswerMs: LATE_ANSWER_MS };
    void ownership.run();
    void ownership.runRenewals();
  });

  afterEach(async () => {
    await time.settle(ownership.stop(), 5_000);
  });

  function readOwner() {
    const owner = rows.list({ table: OWNERSHIP_TABLE }).find(({ key }) => key === 'owner');
    return owner?.value ?? null;
  }

  it('begins its term as soon as the store shows its row, and only once', async () => {
    await time.advance(ACQUISITION_MS);
    expect([terms.length, ownership.canAct()]).toEqual([1, true]);
    await time.advance(4 * LATE_ANSWER_MS);
    expect(terms.map(({ epoch }) => epoch)).toEqual([1]);
  });

  it('does not begin the term that another incarnation of the same name acquired', async () => {
    rows.apply({
      conditions: [],
      writes: [
        {
          table: OWNERSHIP_TABLE,
          key: 'owner',
          value: {
            name: 'a',
            life: '2',
            address: 'a',
            epoch: 1,
            isReleased: false,
            unloadedTerms: 0,
          },
        },
      ],
    });
    await time.advance(ACQUISITION_MS);
    expect(terms.filter(({ epoch }) => epoch === 1)).toEqual([]);
  });

  it('releases the ownership if it is stopped before the answer', async () => {
    rows.faults = { ...NO_STORE_FAULTS, commitAnswerMs: LATE_ANSWER_MS };
    await time.advance(20);
    await time.settle(ownership.stop(), 2 * LATE_ANSWER_MS + ACQUISITION_MS);
    const owner = readOwner();
    const isHeld =
      typeof owner === 'object' &&
      owner !== null &&
      !('isReleased' in owner && owner.isReleased === true);
    expect(isHeld).toEqual(false);
    expect(terms).toEqual([]);
  });
});
