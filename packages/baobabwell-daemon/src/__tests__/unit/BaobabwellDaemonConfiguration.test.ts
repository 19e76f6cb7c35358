import type { DaemonAdapters } from '../../BaobabwellDaemonSettings';
import type { FleetConfiguration } from '@baobabwell/fleet';
import type { JsonValue } from '@baobabwell/platform';

import { expect } from 'earl';

import { EmulatedTime } from '@baobabwell/emulator';
import { CONFIGURATION, EmulatedJobStore, EmulatedRows } from '@baobabwell/job-emulator';
import { Logger, LogLevel } from '@baobabwell/logging';
import { Random } from '@baobabwell/utils';

import { ConfigurationWatcher } from '../../BaobabwellDaemonConfiguration';

const TABLE = 'operator';
const KEY = 'config';

/** Time within which a configuration is in force while the store serves a process, in ms. */
const APPLY_MS = 2_000;

/** Time within which it is in force, or no call is served by the former one, in ms. */
const MAX_AGE_MS = 7_000;

type Process = { readonly watcher: ConfigurationWatcher; readonly store: EmulatedJobStore };

describe('ConfigurationWatcher', () => {
  let time: EmulatedTime;
  let rows: EmulatedRows;
  let processes: Process[];
  let lines: string[];

  /** Processes that their peers do not reach. */
  let silentPeers: Set<number>;

  /** Versions that were read from peers; `null` where the peer had no later one. */
  let transfers: (number | null)[];

  /** Time that the transfer of a configuration from a peer takes, in ms. */
  let transferMs: number;

  function listPeers(own: number): readonly Process[] {
    return processes.filter(
      (_, index) => index !== own && !silentPeers.has(index) && !silentPeers.has(own),
    );
  }

  function put(version: number): void {
    const value = { ...CONFIGURATION, version } as unknown as JsonValue;
    rows.apply({ conditions: [], writes: [{ table: TABLE, key: KEY, value }] });
  }

  function addProcess(): Process {
    const store = new EmulatedJobStore(time, time, new Random(1), rows);
    const own = processes.length;
    const watcher = new ConfigurationWatcher({
      adapters: {
        store,
        codec: { operatorTable: TABLE },
        configurationKey: KEY,
        decodeConfiguration: (value: JsonValue) => value as unknown as FleetConfiguration,
      } as unknown as DaemonAdapters,
      clock: time,
      logger: new Logger(LogLevel.Info, {}, (line) => lines.push(line)),
      maxAgeMs: MAX_AGE_MS,
      requestReports: (knownVersion, record) =>
        listPeers(own)
          .map((peer) => peer.watcher.createReport(knownVersion))
          .forEach((report) => report !== null && record(report)),
      requestConfiguration: async (knownVersion) => {
        const peers = listPeers(own);
        const report =
          peers[transfers.length % peers.length]?.watcher.createReport(knownVersion) ?? null;
        transfers.push(report?.configuration?.version ?? null);
        await time.wait(transferMs);
        return report;
      },
    });
    void watcher.run();
    void watcher.runPeerRequests();
    processes.push({ watcher, store });
    return { watcher, store };
  }

  function listVersions(): readonly (number | null)[] {
    return processes.map(({ watcher }) => watcher.getConfiguration()?.version ?? null);
  }

  beforeEach(async () => {
    time = new EmulatedTime();
    rows = new EmulatedRows();
    processes = [];
    lines = [];
    silentPeers = new Set();
    transfers = [];
    transferMs = 0;
    put(1);
    [1, 2, 3].forEach(addProcess);
    await time.advance(APPLY_MS);
  });

  afterEach(() => processes.forEach(({ watcher }) => watcher.stop()));

  function partition(index: number): void {
    const { store } = processes[index] as Process;
    store.isPartitioned = true;
  }

  it('applies what a peer reads while the store turns this process away', async () => {
    [0, 1].forEach(partition);
    await time.advance(APPLY_MS);
    put(2);
    await time.advance(APPLY_MS);
    expect(listVersions()).toEqual([2, 2, 2]);
    await time.advance(2 * MAX_AGE_MS);
    put(5);
    await time.advance(APPLY_MS);
    expect(listVersions()).toEqual([5, 5, 5]);
    expect(processes.map(({ watcher }) => watcher.isOutdated())).toEqual([false, false, false]);
  });

  it('tells that it may be outdated while neither the store nor a peer answers', async () => {
    partition(0);
    silentPeers.add(0);
    put(2);
    await time.advance(MAX_AGE_MS);
    expect(processes.map(({ watcher }) => watcher.isOutdated())).toEqual([true, false, false]);
    silentPeers.clear();
    await time.advance(APPLY_MS);
    expect(listVersions()).toEqual([2, 2, 2]);
    expect(processes.map(({ watcher }) => watcher.isOutdated())).toEqual([false, false, false]);
    const events = lines.map((line) => /configuration-(?:outdated|current)/.exec(line)?.[0]);
    expect(events.filter((event) => event !== undefined)).toEqual([
      'configuration-outdated',
      'configuration-current',
    ]);
  });

  it('confirms an outdated configuration by one read of the store for all that wait', async () => {
    partition(0);
    silentPeers.add(0);
    put(2);
    await time.advance(MAX_AGE_MS);
    const [{ watcher, store }] = processes as [Process, ...Process[]];
    let readCount = 0;
    const waitForChanges = store.waitForChanges.bind(store);
    store.waitForChanges = async (table, version, waitMs, signal) => {
      readCount += waitMs === 0 ? 1 : 0;
      return waitForChanges(table, version, waitMs, signal);
    };
    store.isPartitioned = false;
    let toldCount = 0;
    const waits = [900, 900, 900].map(async (maxMs) => {
      const isCurrent = await watcher.waitUntilCurrent(maxMs);
      toldCount += 1;
      return isCurrent;
    });
    await time.advance(100);
    expect([toldCount, readCount, listVersions()[0]]).toEqual([3, 1, 2]);
    expect(await Promise.all(waits)).toEqual([true, true, true]);
  });

  it('ends the wait for a confirmation as a peer confirms the configuration', async () => {
    partition(0);
    silentPeers.add(0);
    put(2);
    await time.advance(MAX_AGE_MS);
    const [{ watcher }] = processes as [Process, ...Process[]];
    silentPeers.clear();
    const wait = watcher.waitUntilCurrent(900);
    await time.advance(0);
    expect([await wait, listVersions()[0]]).toEqual([true, 2]);
  });

  it('gives up the wait for a confirmation in time', async () => {
    partition(0);
    silentPeers.add(0);
    await time.advance(MAX_AGE_MS);
    const [{ watcher }] = processes as [Process, ...Process[]];
    const startedAtMs = time.getNow();
    let endedAtMs = Infinity;
    const wait = watcher.waitUntilCurrent(900).then((isCurrent) => {
      endedAtMs = time.getNow();
      return isCurrent;
    });
    await time.advance(2_000);
    expect([await wait, endedAtMs - startedAtMs]).toEqual([false, 900]);
  });

  it('does not wait while the configuration is current', async () => {
    const [{ watcher }] = processes as [Process, ...Process[]];
    expect(await watcher.waitUntilCurrent(900)).toEqual(true);
  });

  it('serves on while the store answers no process: no change can have been acknowledged to one', async () => {
    [0, 1, 2].forEach(partition);
    await time.advance(3 * MAX_AGE_MS);
    expect(processes.map(({ watcher }) => watcher.isOutdated())).toEqual([false, false, false]);
  });

  it('asks no peer while the store answers', async () => {
    let requestCount = 0;
    const { createReport } = ConfigurationWatcher.prototype;
    processes.forEach(({ watcher }) =>
      Object.assign(watcher, {
        createReport: (version: number | null) => {
          requestCount += 1;
          return createReport.call(watcher, version);
        },
      }),
    );
    await time.advance(2 * MAX_AGE_MS);
    expect(requestCount).toEqual(0);
  });

  it('confirms nothing by a read that is behind, after the history was compacted', async () => {
    rows.delayReads();
    put(2);
    rows.compactHistory();
    await time.advance(2 * APPLY_MS);
    const [age = 0] = processes.map(({ watcher }) => watcher.getAgeMs() ?? 0);
    expect([listVersions(), age >= APPLY_MS]).toEqual([[1, 1, 1], true]);
    rows.releaseReads();
    await time.advance(APPLY_MS);
    const [laterAge = APPLY_MS] = processes.map(({ watcher }) => watcher.getAgeMs() ?? APPLY_MS);
    expect([listVersions(), laterAge < APPLY_MS]).toEqual([[2, 2, 2], true]);
  });

  it('reads a later configuration from one peer at a time, and counts as outdated while it arrives', async () => {
    partition(0);
    await time.advance(APPLY_MS);
    transferMs = 2 * MAX_AGE_MS;
    put(2);
    await time.advance(MAX_AGE_MS);
    expect(listVersions()).toEqual([1, 2, 2]);
    expect(processes.map(({ watcher }) => watcher.isOutdated())).toEqual([true, false, false]);
    expect(transfers).toEqual([2]);
    await time.advance(transferMs);
    expect(listVersions()).toEqual([2, 2, 2]);
    expect(processes.map(({ watcher }) => watcher.isOutdated())).toEqual([false, false, false]);
  });

  it('does not read the whole configuration again after a watch that failed', async () => {
    const [{ store }] = processes as [Process];
    let listCount = 0;
    const list = store.list.bind(store);
    store.list = async (range) => {
      listCount += 1;
      return list(range);
    };
    store.isPartitioned = true;
    await time.advance(APPLY_MS);
    store.isPartitioned = false;
    put(2);
    await time.advance(APPLY_MS);
    expect([listVersions(), listCount]).toEqual([[2, 2, 2], 0]);
  });

  it('never applies an older configuration of a peer', async () => {
    partition(0);
    await time.advance(APPLY_MS);
    put(3);
    await time.advance(APPLY_MS);
    const [first] = processes;
    first?.watcher.apply({ ...CONFIGURATION, version: 2 }, 'peer');
    expect(listVersions()).toEqual([3, 3, 3]);
  });
});
