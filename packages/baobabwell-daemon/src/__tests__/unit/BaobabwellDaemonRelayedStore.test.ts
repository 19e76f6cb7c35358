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
const CALLS_PER_SECOND = 50;
const READS_PER_S = 2_000;

/** Latency of a store that is fifty times slower than usual, including some queueing. */
const SLOW_REPLY_MS = 700;

/** Longer than the time for which calls go to peers first after a late answer. */
const AFTER_PEERS_FIRST_MS = 1_100;
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

describe('RelayedStore', () => {
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
      listPeerAddresses: () => ['peer-1', 'peer-2'],
      clock: time,
      logger,
      readsPerS: READS_PER_S,
    });
    return time.settle(store.commit(TRANSACTION), 10_000);
  }

  it('relays a call through a peer when the store refuses this process', async () => {
    expect(await commit(createRefusal(false), createOk(VERSION))).toEqual(createOk(VERSION));
  });

  it('relays a call through a peer when the store does not answer this process', async () => {
    const reply = await commit(createRefusal(true), createOk(VERSION), 5_000);
    expect(reply).toEqual(createOk(VERSION));
  });

  it('reports a call as not committed only when every attempt was refused', async () => {
    expect(await commit(createRefusal(false), createRefusal(false))).toEqual(createRefusal(false));
  });

  it('does not multiply calls while the store refuses every process', async () => {
    const time = new EmulatedTime();
    const relayedTo: string[] = [];
    const store = new RelayedStore({
      direct: new ScriptedStore(time, createRefusal(false)),
      relay: {
        commit: async (address) => {
          relayedTo.push(address);
          return createRefusal(false);
        },
        list: async () => null,
      },
      listPeerAddresses: () => ['peer-1', 'peer-2', 'peer-3'],
      clock: time,
      logger,
      readsPerS: READS_PER_S,
    });
    for (let sent = 0; sent < CALLS_PER_SECOND; sent += 1) {
      await time.settle(store.commit(TRANSACTION), 10_000);
      await time.advance(1_000 / CALLS_PER_SECOND);
    }
    expect(relayedTo.length <= CALLS_PER_SECOND / 5).toEqual(true);
  });

  it('relays no further calls once it has measured that the store is slow', async () => {
    const time = new EmulatedTime();
    let relayCount = 0;
    const store = new RelayedStore({
      direct: new ScriptedStore(time, createOk(VERSION), SLOW_REPLY_MS),
      relay: {
        commit: async () => {
          relayCount += 1;
          return createOk(VERSION);
        },
        list: async () => null,
      },
      listPeerAddresses: () => ['peer-1', 'peer-2'],
      clock: time,
      logger,
      readsPerS: READS_PER_S,
    });
    for (let sent = 0; sent < 5; sent += 1) {
      await time.settle(store.commit(TRANSACTION), 10_000);
      await time.advance(AFTER_PEERS_FIRST_MS);
    }
    // Only the first call is relayed: it exceeds the relay delay, which then scales with its latency.
    expect(relayCount).toEqual(1);
  });

  it('reports an unknown outcome when a peer did not answer, even if the store refused', async () => {
    expect(await commit(createRefusal(false), null)).toEqual(createRefusal(true));
  });
});
