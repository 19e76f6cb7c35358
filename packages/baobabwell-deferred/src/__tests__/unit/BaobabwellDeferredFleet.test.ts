import type { GateReply } from '../../BaobabwellDeferredGate';
import type { LookupReply } from '../../BaobabwellDeferredService';
import type { EmulatedCall } from '@baobabwell/emulator';

import { expect } from 'earl';

import { buildEmulatedSettings, EmulatedFleet, getTeamSecret } from '@baobabwell/emulator';
import { DEFERRED_GATE, DEFERRED_SERVICE } from '@baobabwell/entry';
import { PriorityClass } from '@baobabwell/model';
import { findRendezvousOwner } from '@baobabwell/scheduling';
import { NO_PLATFORM_FAULTS } from '@baobabwell/stand-ins';

const SEED = 31;
const LIMIT_MS = 120_000;
const MINUTE_MS = 60_000;
const ENTRIES = ['entry-1', 'entry-2', 'entry-3'];

describe('deferred work', () => {
  let fleet: EmulatedFleet;
  let accepted: number;

  beforeEach(async () => {
    accepted = 0;
    const settings = buildEmulatedSettings({
      entries: ENTRIES.length,
      pools: [{ id: 'ovens', workers: 3, minimumServing: 1 }],
      teams: [
        { id: 'guilds', share: 1, limit: 30 },
        { id: 'schools', share: 1, limit: 30 },
      ],
      deferred: [
        { id: 'rosters', pool: 'ovens' },
        { id: 'nightly', pool: 'ovens', window: { opens: '12:02', closes: '12:30' } },
      ],
    });
    fleet = new EmulatedFleet(settings, SEED);
    await fleet.startAll();
    await fleet.advance(2_000);
  });

  afterEach(() => fleet.close());

  async function add(options: Partial<EmulatedCall> = {}, entry = 'entry-1') {
    accepted += 1;
    const request = {
      id: `accept-${accepted}`,
      queue: 'rosters',
      secret: getTeamSecret('guilds'),
      priority: PriorityClass.Batch,
      timeoutMs: null,
      isRepeatable: false,
      idempotencyKey: null,
      contentType: 'application/json',
      body: Buffer.from(`{"runMs":200,"number":${accepted}}`),
      ...options,
    };
    return fleet.time.settle(
      fleet.sendRequest(entry, async (kernel) => kernel.getService(DEFERRED_GATE).add(request)),
      LIMIT_MS,
    );
  }

  function getId(reply: GateReply | null): string {
    return reply?.kind === 'accepted' ? reply.work.id : `${reply?.kind}`;
  }

  async function find(id: string, entry = 'entry-3', team = 'guilds'): Promise<LookupReply | null> {
    const signal = new AbortController().signal;
    return fleet.time.settle(
      fleet.sendRequest(entry, async (kernel) =>
        kernel.getService(DEFERRED_SERVICE).find(id, team, 0, signal),
      ),
      LIMIT_MS,
    );
  }

  async function describeWork(id: string, entry?: string): Promise<string> {
    const found = await find(id, entry);
    if (found?.kind !== 'found') {
      return `${found?.kind}`;
    }
    const { state, result } = found.work;
    return result === null ? state : `${state} ${result.outcome} ${result.reason}`;
  }

  async function cancel(ids: readonly string[]) {
    const results = await fleet.time.settle(
      fleet.sendRequest('entry-2', async (kernel) =>
        kernel.getService(DEFERRED_SERVICE).cancel(ids, 'guilds'),
      ),
      LIMIT_MS,
    );
    return [...(results ?? new Map<string, string>()).values()] as string[];
  }

  function listStarted(): readonly string[] {
    return fleet
      .listLedger()
      .filter(({ event }) => (event as string) === 'started')
      .map(({ taskId }) => taskId.slice(0, taskId.indexOf('.')));
  }

  function getOwner(queue: string): string {
    return findRendezvousOwner(queue, fleet.listEntries()) as string;
  }

  it('is accepted at one entry, runs once and is found at another entry', async () => {
    const id = getId(await add());
    await fleet.advance(5_000);
    expect(await describeWork(id)).toEqual('ended completed answered');
    expect(listStarted()).toEqual([id]);
  });

  it('starts when the window of its queue opens, earliest deadline first', async () => {
    const late = getId(await add({ queue: 'nightly', timeoutMs: 9 * MINUTE_MS }));
    const early = getId(await add({ queue: 'nightly', timeoutMs: 5 * MINUTE_MS }));
    await fleet.advance(MINUTE_MS);
    const before = [await describeWork(late), await describeWork(early), listStarted().length];
    await fleet.advance(MINUTE_MS + 10_000);
    expect(before).toEqual(['waiting', 'waiting', 0]);
    expect(listStarted()).toEqual([early, late]);
  });

  it('is stored once per idempotency key, and a request with another body is refused', async () => {
    const key = { idempotencyKey: 'roster-7', body: Buffer.from('{}') };
    const first = getId(await add(key));
    const second = getId(await add(key, 'entry-2'));
    const third = getId(await add({ ...key, body: Buffer.from('{"runMs":1}') }, 'entry-3'));
    await fleet.advance(5_000);
    expect([second === first, third, listStarted()]).toEqual([true, 'key-reused', [first]]);
  });

  it('survives a restart of every entry between acceptance and run', async () => {
    const id = getId(await add({ queue: 'nightly', timeoutMs: 9 * MINUTE_MS }));
    for (const entry of ENTRIES) {
      await fleet.stopEntry(entry);
      await fleet.startEntry(entry);
    }
    await fleet.advance(2 * MINUTE_MS + 60_000);
    expect(await describeWork(id)).toEqual('ended completed answered');
    expect(listStarted()).toEqual([id]);
  });

  it('ends as unknown without another run when its owner is killed during the run', async () => {
    const id = getId(await add({ body: Buffer.from('{"runMs":4000}') }));
    await fleet.advance(2_500);
    const owner = getOwner('rosters');
    fleet.killEntry(owner);
    await fleet.advance(90_000);
    const other = fleet.listEntries()[0] as string;
    expect(await describeWork(id, other)).toEqual('ended unknown owner-lost');
    expect(listStarted()).toEqual([id]);
  });

  it('runs again when its owner is killed and it is repeatable', async () => {
    const id = getId(await add({ body: Buffer.from('{"runMs":4000}'), isRepeatable: true }));
    await fleet.advance(2_500);
    fleet.killEntry(getOwner('rosters'));
    await fleet.advance(90_000);
    const other = fleet.listEntries()[0] as string;
    expect(await describeWork(id, other)).toEqual('ended completed answered');
  });

  it('runs once when the store answers to its claim and its result are lost', async () => {
    const ids = [getId(await add()), getId(await add()), getId(await add())];
    fleet.tables.applyFaults({ ...NO_PLATFORM_FAULTS, loseAnswers: 1 });
    await fleet.advance(20_000);
    fleet.tables.applyFaults(NO_PLATFORM_FAULTS);
    await fleet.advance(20_000);
    expect(await Promise.all(ids.map(async (id) => describeWork(id)))).toEqual(
      ids.map(() => 'ended completed answered'),
    );
    expect(listStarted().toSorted()).toEqual(ids.toSorted());
  });

  it('is not accepted while the store is down, and starts after the store has recovered', async () => {
    const id = getId(await add({ queue: 'nightly', timeoutMs: 9 * MINUTE_MS }));
    fleet.tables.applyFaults({ ...NO_PLATFORM_FAULTS, down: true });
    const refused = getId(await add());
    await fleet.advance(2.5 * MINUTE_MS);
    const during = listStarted().length;
    fleet.tables.applyFaults(NO_PLATFORM_FAULTS);
    await fleet.advance(30_000);
    expect([refused, during]).toEqual(['unavailable', 0]);
    expect(await describeWork(id)).toEqual('ended completed answered');
  });

  it('does not run after its deadline', async () => {
    const id = getId(await add({ queue: 'nightly', timeoutMs: MINUTE_MS }));
    await fleet.advance(MINUTE_MS + 10_000);
    expect(await describeWork(id)).toEqual('ended not-run deadline');
    await fleet.advance(2 * MINUTE_MS);
    expect(listStarted()).toEqual([]);
  });

  it('is cancelled in batches, whether waiting or running', async () => {
    const running = getId(await add({ body: Buffer.from('{"runMs":60000}') }));
    await fleet.advance(3_000);
    const waiting = [];
    for (let index = 0; index < 40; index += 1) {
      waiting.push(getId(await add({ queue: 'nightly' })));
    }
    const writesBefore = fleet.tables.getCounts().writes;
    const results = await cancel([running, ...waiting, 'no-such-work']);
    const writes = fleet.tables.getCounts().writes - writesBefore;
    await fleet.advance(2.5 * MINUTE_MS);
    expect(results.toSorted()).toEqual(
      ['stopping', ...waiting.map(() => 'cancelled'), 'not-found'].toSorted(),
    );
    expect(writes < waiting.length).toEqual(true);
    expect(await describeWork(running)).toEqual('ended unknown cancelled');
    expect(listStarted()).toEqual([running]);
  });

  it('is visible only to the team that submitted it', async () => {
    const id = getId(await add());
    const found = await find(id, 'entry-1', 'schools');
    expect(found?.kind).toEqual('not-found');
  });

  it('ends as not run when its target is retired before it starts', async () => {
    const id = getId(await add({ queue: 'nightly' }));
    await fleet.settleStatement('entry-1', 'retire target ovens reason "split"');
    await fleet.advance(2 * MINUTE_MS + 10_000);
    expect(await describeWork(id)).toEqual('ended not-run target-leaving');
    expect(listStarted()).toEqual([]);
  });
});
