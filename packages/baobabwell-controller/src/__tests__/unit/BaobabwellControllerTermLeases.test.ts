import type { EarlyHosts } from '../../BaobabwellControllerTermLeases';
import type {
  HoldOrder,
  HostIncarnation,
  HostReport,
  OrderError,
  StartOrder,
} from '@baobabwell/platform';
import type { Result } from '@baobabwell/utils';

import { expect } from 'earl';

import { EmulatedTime } from '@baobabwell/emulator';
import {
  EmulatedJobStore,
  EmulatedRows,
  NO_STORE_FAULTS,
  NO_TABLE_FAULTS,
} from '@baobabwell/job-emulator';
import { Logger, LogLevel } from '@baobabwell/logging';
import { DaemonMetrics } from '@baobabwell/metrics';
import { Ownership } from '@baobabwell/ownership';
import { HostOrders } from '@baobabwell/platform';
import { ProcessorTime } from '@baobabwell/processor-time';
import { createOk, Random, readClocks } from '@baobabwell/utils';

import { HOST_LEASE_MS, HOSTS_TABLE } from '../../BaobabwellControllerConstants';
import { LeaseLog } from '../../BaobabwellControllerLeaseLog';
import { readEarlyHosts, TermLeases } from '../../BaobabwellControllerTermLeases';
import { TermTables } from '../../BaobabwellControllerTermTables';

const SEED = 1;
const EPOCH = 2;

/** Time in which the slow store answers, in ms. */
const ANSWER_MS = 400;

/** Time in which a call to a host and the next one are answered, in ms. */
const CALLS_MS = 40;

/** Hosts on which something runs; they answer at once. */
class BusyHosts extends HostOrders {
  readonly holds: { readonly address: string; readonly order: HoldOrder; readonly atMs: number }[] =
    [];

  constructor(readonly time: EmulatedTime) {
    super();
  }

  /** Lists the addresses on which leases were renewed until a time, in ms. */
  listRenewed(untilMs: number): readonly string[] {
    const renewed = this.holds.filter(
      ({ order, atMs }) => order.leaseEndMs !== null && atMs <= untilMs,
    );
    return [...new Set(renewed.map(({ address }) => address))].toSorted();
  }

  override async start(
    _host: HostIncarnation,
    _order: StartOrder,
  ): Promise<Result<number, OrderError>> {
    throw new Error('nothing is started before a term is loaded');
  }

  override async stop(): Promise<Result<number, OrderError>> {
    throw new Error('nothing is stopped before a term is loaded');
  }

  override async setCpuLimit(): Promise<Result<number, OrderError>> {
    throw new Error('nothing is limited before a term is loaded');
  }

  override async hold(
    { address }: HostIncarnation,
    order: HoldOrder,
  ): Promise<Result<HostReport, OrderError>> {
    this.holds.push({ address, order, atMs: this.time.getNow() });
    await this.time.wait(1);
    return createOk({
      clockMs: this.time.getNow(),
      bornMs: 1,
      active: [
        { task: 'a.0.0.0', run: 1, checkpoint: '', progressPercent: 0, reading: 0 },
      ] as HostReport['active'],
      ended: [],
      isPartial: false,
    });
  }
}

/** Ownership that was renewed just now. */
class RenewedOwnership extends Ownership {
  override getLeaseAgeMs(): number {
    return 0;
  }
}

// Guards against LOST: the stored hosts are read only once a slow store has answered a takeover.
describe('leases of a term that is not loaded', () => {
  let time: EmulatedTime;
  let rows: EmulatedRows;
  let store: EmulatedJobStore;
  let orders: BusyHosts;
  let abort: AbortController;
  let leases: TermLeases;
  let tables: TermTables;

  function putHost(id: string, address: string): void {
    rows.apply({
      conditions: [],
      writes: [{ table: HOSTS_TABLE, key: id, value: { address, pool: 'p', bornMs: 1 } }],
    });
  }

  function createLeases(wasReleased: boolean): void {
    const clock = time;
    const logger = new Logger(LogLevel.Error, {}, () => undefined);
    const term = { epoch: EPOCH, startVersion: 0, isHandover: false, wasReleased };
    const { signal } = abort;
    leases = new TermLeases({
      clock,
      hosts: new Map(),
      leaseLog: new LeaseLog({ clock, logger, metrics: new DaemonMetrics().owner, term }),
      orders,
      ownership: new RenewedOwnership({
        store,
        clock,
        logger,
        candidate: { name: 'a', incarnation: '1', address: 'a', fitness: 1 },
        listener: { startTerm: () => undefined, endTerm: () => undefined },
      }),
      signal,
      term,
    });
    const processorTime = new ProcessorTime(() => time.getNow());
    tables = new TermTables({ store, clock, signal, logger, processorTime });
  }

  /** Reads the hosts as a takeover does that the store answers after `answerMs`. */
  async function readEarly(answerMs: number): Promise<EarlyHosts> {
    const logger = new Logger(LogLevel.Error, {}, () => undefined);
    const earlyHosts = readEarlyHosts({ store, clock: time, logger });
    await time.advance(answerMs);
    return earlyHosts;
  }

  beforeEach(() => {
    time = new EmulatedTime();
    rows = new EmulatedRows();
    store = new EmulatedJobStore(time, time, new Random(SEED), rows);
    orders = new BusyHosts(time);
    abort = new AbortController();
    putHost('h1', 'one');
    putHost('h2', 'two');
    store.tableFaults.set(HOSTS_TABLE, { ...NO_TABLE_FAULTS, listAnswerMs: ANSWER_MS });
  });

  afterEach(() => {
    leases.stop();
    abort.abort();
  });

  it('are renewed from its start on where hosts were read beside its takeover, on the others later', async () => {
    createLeases(false);
    const earlyHosts = await readEarly(ANSWER_MS + CALLS_MS);
    putHost('h3', 'three');
    const startedAtMs = time.getNow();
    void leases.loadHosts(tables, readClocks(time), earlyHosts);
    await time.advance(ANSWER_MS + 2 * CALLS_MS);
    expect(orders.listRenewed(startedAtMs + CALLS_MS)).toEqual(['one', 'two']);
    expect(orders.listRenewed(time.getNow())).toEqual(['one', 'three', 'two']);
    expect(orders.holds.filter(({ order }) => order.acknowledgedPosition > 0)).toEqual([]);
    expect([...new Set(orders.holds.map(({ order }) => order.epoch))]).toEqual([EPOCH]);
  });

  it('are renewed although the hosts could not be read beside its takeover', async () => {
    createLeases(false);
    rows.faults = { ...NO_STORE_FAULTS, isDown: true };
    const earlyHosts = await readEarly(1_000);
    rows.faults = NO_STORE_FAULTS;
    void leases.loadHosts(tables, readClocks(time), earlyHosts);
    await time.advance(ANSWER_MS + 2 * CALLS_MS);
    expect(orders.listRenewed(time.getNow())).toEqual(['one', 'two']);
  });

  it('are not renewed before it starts, nor after it has ended', async () => {
    createLeases(false);
    const earlyHosts = await readEarly(ANSWER_MS + CALLS_MS);
    expect(orders.holds).toEqual([]);
    void leases.loadHosts(tables, readClocks(time), earlyHosts);
    abort.abort();
    await time.advance(ANSWER_MS + 2 * CALLS_MS);
    expect(orders.holds.filter(({ order }) => order.leaseEndMs !== null)).toEqual([]);
  });

  it('are left to the owner that released its ownership for as long as before', async () => {
    createLeases(true);
    const earlyHosts = await readEarly(ANSWER_MS + CALLS_MS);
    void leases.loadHosts(tables, readClocks(time), earlyHosts);
    await time.advance(ANSWER_MS + 2 * CALLS_MS);
    expect(orders.holds).toEqual([]);
  });

  // Guards against TWICE: what was granted under a former address counts for the host that is stored now.
  it('that were granted at a former address count for the host at the present one', async () => {
    createLeases(false);
    const earlyHosts = await readEarly(ANSWER_MS + CALLS_MS);
    putHost('h2', 'elsewhere');
    void leases.loadHosts(tables, readClocks(time), earlyHosts);
    await time.advance(ANSWER_MS + 2 * CALLS_MS);
    leases.finishLoad();
    const kept = leases.createHost('h1', { address: 'one', pool: 'p' });
    const moved = leases.createHost('h2', { address: 'elsewhere', pool: 'p' });
    expect([kept.incarnation.address, moved.incarnation.address]).toEqual(['one', 'elsewhere']);
    const grantedMs = Math.max(
      ...orders.holds
        .filter(({ address, order }) => address === 'two' && order.leaseEndMs !== null)
        .map(({ atMs }) => atMs),
    );
    expect(moved.state.getExpiredAtMs()).toBeGreaterThanOrEqual(grantedMs + HOST_LEASE_MS);
  });
});
