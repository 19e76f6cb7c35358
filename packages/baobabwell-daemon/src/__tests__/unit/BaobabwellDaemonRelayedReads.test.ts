import type { CallLimits, ChangePage, TableError, WatchError } from '@baobabwell/platform';
import type { Result } from '@baobabwell/utils';

import { expect } from 'earl';

import { EmulatedTime } from '@baobabwell/emulator';
import { Logger, LogLevel } from '@baobabwell/logging';
import { TableErrorKind, WatchableTableService, WatchErrorKind } from '@baobabwell/platform';
import { createError, createOk, Deadline } from '@baobabwell/utils';

import { RelayedStore } from '../../BaobabwellDaemonRelayedStore';

const PAGE = { rows: [], version: 7 };
const RANGE = { table: 'jobs' };
const TRANSACTION = { conditions: [], writes: [{ table: 'jobs', key: 'a', value: 1 }] };
const READS_PER_S = 2_000;
const PEER_COUNT = 33;

/** Time limit of a call to the store and of a request to a peer, in ms. */
const CALL_TIMEOUT_MS = 1_500;
const PEER_TIMEOUT_MS = 1_000;

/** A store that answers after a time, unless the call ends before. */
class LimitedStore extends WatchableTableService {
  readonly #time: EmulatedTime;

  /** Time until the answer to each of the next calls, in ms. */
  delaysMs: number[] = [];

  usualDelayMs = 12;

  listCount = 0;

  constructor(time: EmulatedTime) {
    super();
    this.#time = time;
  }

  override async commit(
    _transaction: unknown,
    limits?: CallLimits,
  ): Promise<Result<number, TableError>> {
    return (await this.#isAnswered(limits)) ? createOk(PAGE.version) : this.#createLoss();
  }

  override async list(
    _range: unknown,
    limits?: CallLimits,
  ): Promise<Result<ChangePage, TableError>> {
    this.listCount += 1;
    return (await this.#isAnswered(limits)) ? createOk(PAGE) : this.#createLoss();
  }

  override async readSince(): ReturnType<WatchableTableService['readSince']> {
    return createOk({ rows: [], serviceVersion: PAGE.version });
  }

  override async waitForChanges(): Promise<Result<ChangePage, WatchError>> {
    return createError({ kind: WatchErrorKind.Unavailable, cause: 'not used' });
  }

  async #isAnswered({ deadline, signal }: CallLimits = {}): Promise<boolean> {
    const delayMs = this.delaysMs.shift() ?? this.usualDelayMs;
    const limitMs = deadline?.limit(CALL_TIMEOUT_MS) ?? CALL_TIMEOUT_MS;
    await this.#time.wait(Math.min(delayMs, limitMs), signal);
    return signal?.aborted !== true && delayMs <= limitMs;
  }

  #createLoss(): Result<never, TableError> {
    return createError({
      kind: TableErrorKind.Unavailable,
      mayHaveCommitted: true,
      cause: 'no response',
    });
  }
}

describe('RelayedStore beside deadlines', () => {
  let time: EmulatedTime;
  let direct: LimitedStore;
  let relayedAtMs: number[];
  let store: RelayedStore;

  /** A peer that does not answer. */
  async function relay(): Promise<null> {
    relayedAtMs.push(time.getNow());
    await time.wait(PEER_TIMEOUT_MS);
    return null;
  }

  async function measure<Reply>(call: Promise<Reply>): Promise<number> {
    const startedAtMs = time.getNow();
    return time.settle(
      call.then(() => time.getNow() - startedAtMs),
      20_000,
    );
  }

  beforeEach(() => {
    time = new EmulatedTime();
    direct = new LimitedStore(time);
    relayedAtMs = [];
    store = new RelayedStore({
      direct,
      relay: { commit: relay, list: relay },
      listPeerAddresses: () => Array.from({ length: PEER_COUNT }, (_, index) => `peer-${index}`),
      clock: time,
      logger: new Logger(LogLevel.Error, {}, () => undefined),
      readsPerS: READS_PER_S,
    });
  });

  it('relays no read that was answered on another connection', async () => {
    direct.delaysMs = [Infinity];
    const reply = await time.settle(
      store.list(RANGE, { deadline: new Deadline(time, 2_900) }),
      5_000,
    );
    await time.advance(100);
    expect(reply).toEqual(createOk(PAGE));
    expect(relayedAtMs).toEqual([]);
  });

  it('sends a commit to the store at once after a read had its answer on another connection', async () => {
    direct.delaysMs = [Infinity];
    await time.settle(store.list(RANGE, { deadline: new Deadline(time, 2_900) }), 5_000);
    await time.advance(100);
    const tookMs = await measure(
      store.commit(TRANSACTION, { deadline: new Deadline(time, 2_900) }),
    );
    expect(tookMs).toEqual(direct.usualDelayMs);
  });

  it('sends a commit to the store at once after another one passed its short deadline', async () => {
    direct.usualDelayMs = 272;
    void store.commit(TRANSACTION, { deadline: new Deadline(time, 200) });
    await time.advance(300);
    const tookMs = await measure(
      store.commit(TRANSACTION, { deadline: new Deadline(time, 2_900) }),
    );
    expect(tookMs).toEqual(direct.usualDelayMs);
  });

  it('relays no commit after its deadline', async () => {
    direct.usualDelayMs = Infinity;
    const deadlineMs = 400;
    await measure(store.commit(TRANSACTION, { deadline: new Deadline(time, deadlineMs) }));
    expect(relayedAtMs.filter((atMs) => atMs >= deadlineMs)).toEqual([]);
  });

  it('ends a read at its deadline although neither the store nor peers answer', async () => {
    direct.usualDelayMs = Infinity;
    const tookMs = await measure(store.list(RANGE, { deadline: new Deadline(time, 500) }));
    expect(tookMs <= 510).toEqual(true);
  });

  it('reads for later callers while earlier reads, whose callers have gone, have no answer', async () => {
    direct.usualDelayMs = Infinity;
    const early = Array.from({ length: 8 }, async () =>
      store.list(RANGE, { deadline: new Deadline(time, 500) }),
    );
    await time.advance(600);
    direct.usualDelayMs = 12;
    const tookMs = await measure(store.list(RANGE, { deadline: new Deadline(time, 2_900) }));
    await time.settle(Promise.all(early), 20_000);
    expect(tookMs <= 50).toEqual(true);
  });

  it('sends no more reads than its share of the rate of the store while that is silent', async () => {
    direct.usualDelayMs = Infinity;
    const seconds = 20;
    for (let index = 0; index < seconds * 50; index += 1) {
      void store.list(RANGE, { deadline: new Deadline(time, 2_900) });
      await time.advance(20);
    }
    const share = READS_PER_S / (PEER_COUNT + 1);
    const perS = direct.listCount / seconds;
    expect(Math.round(perS)).toBeLessThanOrEqual(Math.round(share));
  });
});
