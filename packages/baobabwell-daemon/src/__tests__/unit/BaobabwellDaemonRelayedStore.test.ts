import type { StoreRelay } from '../../BaobabwellDaemonRelayedStore';
import type { ChangePage, Row, TableError, WatchError } from '@baobabwell/platform';
import type { Result } from '@baobabwell/utils';

import { expect } from 'earl';

import { EmulatedTime } from '@baobabwell/emulator';
import { Logger, LogLevel } from '@baobabwell/logging';
import { TableErrorKind, WatchableTableService, WatchErrorKind } from '@baobabwell/platform';
import { createError, createOk } from '@baobabwell/utils';

import { RelayedStore } from '../../BaobabwellDaemonRelayedStore';

const VERSION = 7;
const CALLS_IN_A_SECOND = 50;

/** An answer of a store that takes fifty times as long, with some waiting before it. */
const SLOW_MS = 700;

/** Longer than peers are asked first after an answer that was late. */
const DISTRUST_MS = 1_100;
const TRANSACTION = { conditions: [], writes: [{ table: 'jobs', key: 'a', value: 1 }] };

function createRefusal(mayHaveCommitted: boolean): Result<never, TableError> {
  return createError({ kind: TableErrorKind.Unavailable, mayHaveCommitted, cause: 'status 503' });
}

class ScriptedStore extends WatchableTableService {
  readonly #time: EmulatedTime;

  readonly #reply: Result<number, TableError>;

  readonly #delayMs: number;

  constructor(time: EmulatedTime, reply: Result<number, TableError>, delayMs = 0) {
    super();
    this.#time = time;
    this.#reply = reply;
    this.#delayMs = delayMs;
  }

  override async commit(): Promise<Result<number, TableError>> {
    await this.#time.wait(this.#delayMs);
    return this.#reply;
  }

  override async list(): Promise<Result<ChangePage, TableError>> {
    return createOk({ rows: [], version: VERSION });
  }

  override async read(): Promise<Result<Row | null, TableError>> {
    return createOk(null);
  }

  override async readSince(): ReturnType<WatchableTableService['readSince']> {
    return createOk({ rows: [], serviceVersion: VERSION });
  }

  override async waitForChanges(): Promise<Result<ChangePage, WatchError>> {
    return createError({ kind: WatchErrorKind.Unavailable, cause: 'not used' });
  }
}

describe('the store reached through peers', () => {
  const logger = new Logger(LogLevel.Error, {}, () => undefined);

  async function commit(
    direct: Result<number, TableError>,
    relayed: Result<number, TableError> | null,
    delayMs = 0,
  ): Promise<Result<number, TableError>> {
    const time = new EmulatedTime();
    const relay: StoreRelay = { commit: async () => relayed, list: async () => null };
    const store = new RelayedStore({
      direct: new ScriptedStore(time, direct, delayMs),
      relay,
      listPeers: () => ['peer-1', 'peer-2'],
      clock: time,
      logger,
    });
    return time.settle(store.commit(TRANSACTION), 10_000);
  }

  it('asks a peer when the store turns this process away', async () => {
    expect(await commit(createRefusal(false), createOk(VERSION))).toEqual(createOk(VERSION));
  });

  it('asks a peer when the store is silent here', async () => {
    const reply = await commit(createRefusal(true), createOk(VERSION), 5_000);
    expect(reply).toEqual(createOk(VERSION));
  });

  it('reports nothing done only when every attempt was refused', async () => {
    expect(await commit(createRefusal(false), createRefusal(false))).toEqual(createRefusal(false));
  });

  it('does not multiply calls while the store turns every process away', async () => {
    const time = new EmulatedTime();
    const asked: string[] = [];
    const store = new RelayedStore({
      direct: new ScriptedStore(time, createRefusal(false)),
      relay: {
        commit: async (address) => {
          asked.push(address);
          return createRefusal(false);
        },
        list: async () => null,
      },
      listPeers: () => ['peer-1', 'peer-2', 'peer-3'],
      clock: time,
      logger,
    });
    for (let sent = 0; sent < CALLS_IN_A_SECOND; sent += 1) {
      await time.settle(store.commit(TRANSACTION), 10_000);
      await time.advance(1_000 / CALLS_IN_A_SECOND);
    }
    expect(asked.length <= CALLS_IN_A_SECOND / 5).toEqual(true);
  });

  it('asks no peer while the store answers slowly', async () => {
    const time = new EmulatedTime();
    let askedCount = 0;
    const store = new RelayedStore({
      direct: new ScriptedStore(time, createOk(VERSION), SLOW_MS),
      relay: {
        commit: async () => {
          askedCount += 1;
          return createOk(VERSION);
        },
        list: async () => null,
      },
      listPeers: () => ['peer-1', 'peer-2'],
      clock: time,
      logger,
    });
    for (let sent = 0; sent < 5; sent += 1) {
      await time.settle(store.commit(TRANSACTION), 10_000);
      await time.advance(DISTRUST_MS);
    }
    // The first slow answer is not expected.
    expect(askedCount).toEqual(1);
  });

  it('stays unclear when a peer did not answer, although the store refused here', async () => {
    expect(await commit(createRefusal(false), null)).toEqual(createRefusal(true));
  });
});
