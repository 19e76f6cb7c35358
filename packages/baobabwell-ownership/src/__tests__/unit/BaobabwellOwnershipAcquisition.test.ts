import type { Term } from '../../index';
import type { TableError, Transaction } from '@baobabwell/platform';
import type { Result } from '@baobabwell/utils';

import { expect } from 'earl';

import { EmulatedTime } from '@baobabwell/emulator';
import { EmulatedJobStore, EmulatedRows, NO_STORE_FAULTS } from '@baobabwell/job-emulator';
import { Logger, LogLevel } from '@baobabwell/logging';
import { TableErrorKind } from '@baobabwell/platform';
import { createError, Random } from '@baobabwell/utils';

import { Ownership, OWNERSHIP_TABLE } from '../../index';

const SEED = 11;

/** Time by which the answers to transactions are late, in ms: within the lease of an owner. */
const LATE_ANSWER_MS = 1_200;

/** Time after which the candidate has attempted its first takeover, which nobody contests, in ms. */
const ATTEMPT_MS = 300;

/** Time within which a process that is alone acquires the ownership that nobody holds, in ms. */
const ACQUISITION_MS = 900;

/** Time after which the outcome of a withheld transaction counts as unknown, in ms. */
const UNKNOWN_MS = 100;

function createOwner(name: string, life: string, epoch: number) {
  return { name, life, address: name, epoch, isReleased: false, unloadedTerms: 0 };
}

/** Store that does not answer the first transaction, and applies it, if at all, before the second. */
class WithholdingStore extends EmulatedJobStore {
  withheldCount = 0;

  appliesLate = false;

  #withheld: Transaction | null = null;

  constructor(
    readonly time: EmulatedTime,
    readonly rows: EmulatedRows,
  ) {
    super(time, time, new Random(SEED), rows);
  }

  override async commit(transaction: Transaction): Promise<Result<number, TableError>> {
    if (this.withheldCount > 0) {
      this.withheldCount -= 1;
      this.#withheld = transaction;
      await this.time.wait(UNKNOWN_MS);
      return createError({
        kind: TableErrorKind.Unavailable,
        mayHaveCommitted: true,
        cause: 'no answer',
      });
    }
    if (this.appliesLate && this.#withheld !== null) {
      this.rows.apply(this.#withheld);
      this.#withheld = null;
    }
    return super.commit(transaction);
  }
}

// Guards against LOST: a store that is slow to answer the takeover leaves the fleet without an owner.
describe('a takeover whose transaction is answered late', () => {
  let time: EmulatedTime;
  let rows: EmulatedRows;
  let store: WithholdingStore;
  let ownership: Ownership;
  let terms: number[];

  beforeEach(() => {
    time = new EmulatedTime();
    rows = new EmulatedRows();
    store = new WithholdingStore(time, rows);
    terms = [];
    ownership = new Ownership({
      store,
      clock: time,
      logger: new Logger(LogLevel.Error, {}, () => undefined),
      candidate: { name: 'a', incarnation: '1', address: 'a', fitness: 1 },
      listener: {
        startTerm: ({ epoch }: Term) => {
          terms.push(epoch);
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

  function putOwner(owner: ReturnType<typeof createOwner>): void {
    rows.apply({
      conditions: [],
      writes: [{ table: OWNERSHIP_TABLE, key: 'owner', value: owner }],
    });
  }

  function isHeld(): boolean {
    const owner = rows.list({ table: OWNERSHIP_TABLE }).find(({ key }) => key === 'owner')?.value;
    return (
      typeof owner === 'object' &&
      owner !== null &&
      'isReleased' in owner &&
      owner.isReleased === false
    );
  }

  it('begins its term as soon as the store shows its row, and only once', async () => {
    await time.advance(ACQUISITION_MS);
    expect([terms, ownership.canAct()]).toEqual([[1], true]);
    await time.advance(4 * LATE_ANSWER_MS);
    expect(terms).toEqual([1]);
  });

  it('does not begin a term that another incarnation of its name acquired meanwhile', async () => {
    store.withheldCount = 1;
    await time.advance(ATTEMPT_MS);
    putOwner(createOwner('a', '2', 1));
    await time.advance(ACQUISITION_MS + LATE_ANSWER_MS);
    expect(terms).toEqual([2]);
  });

  it('begins the term of its first transaction, although its second one conflicts with it', async () => {
    store.withheldCount = 1;
    store.appliesLate = true;
    rows.faults = NO_STORE_FAULTS;
    await time.advance(ACQUISITION_MS);
    expect([terms, ownership.canAct()]).toEqual([[1], true]);
  });

  it('does not take a late answer for the present state once a later owner was shown', async () => {
    await time.advance(ATTEMPT_MS);
    store.isPartitioned = true;
    putOwner(createOwner('b', '1', 2));
    await time.advance(ACQUISITION_MS - ATTEMPT_MS);
    store.isPartitioned = false;
    await time.advance(LATE_ANSWER_MS);
    expect([ownership.getOwner()?.name, terms]).toEqual(['b', []]);
  });

  it('releases the ownership if it is stopped before the answer', async () => {
    await time.advance(ATTEMPT_MS);
    expect([isHeld(), terms]).toEqual([true, []]);
    await time.settle(ownership.stop(), 3 * LATE_ANSWER_MS);
    expect([isHeld(), terms]).toEqual([false, []]);
  });
});
