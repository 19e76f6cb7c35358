import type { CallResult } from '@baobabwell/calls';
import type { EmulatedCall } from '@baobabwell/emulator';

import { expect } from 'earl';

import { buildEmulatedSettings, EmulatedFleet, getTeamSecret } from '@baobabwell/emulator';
import { NO_PLATFORM_FAULTS } from '@baobabwell/stand-ins';

const SEED = 21;
const LIMIT_MS = 60_000;
const WAIT_MS = 1_000;

describe('call with an idempotency key', () => {
  let fleet: EmulatedFleet;

  beforeEach(async () => {
    const settings = buildEmulatedSettings({
      entries: 3,
      pools: [{ id: 'ovens', workers: 3, minimumServing: 1 }],
      teams: [
        { id: 'guilds', share: 1, limit: 30 },
        { id: 'schools', share: 1, limit: 30 },
      ],
    });
    fleet = new EmulatedFleet(settings, SEED);
    await fleet.startAll();
  });

  afterEach(() => fleet.close());

  async function send(entry: string, options: Partial<EmulatedCall> = {}) {
    return fleet.call(entry, {
      queue: 'ovens',
      secret: getTeamSecret('guilds'),
      idempotencyKey: 'enrolment-1',
      ...options,
    });
  }

  async function call(entry: string, options: Partial<EmulatedCall> = {}) {
    return fleet.time.settle(send(entry, options), LIMIT_MS);
  }

  function describeResult(result: CallResult | null): string {
    return `${result?.outcome} ${result?.reason} ${result?.isRepeatSafe ? 'safe' : 'unsafe'}`;
  }

  function countStarts(): number {
    return fleet.listLedger().filter(({ event }) => (event as string) === 'started').length;
  }

  function applyStoreFaults(faults: Partial<typeof NO_PLATFORM_FAULTS>): void {
    fleet.tables.applyFaults({ ...NO_PLATFORM_FAULTS, ...faults });
    fleet.objects.setDown(faults.down ?? false);
  }

  it('runs once, and a repeat through another entry returns the same answer', async () => {
    const first = await call('entry-1');
    await fleet.advance(WAIT_MS);
    const second = await call('entry-2');
    expect([describeResult(first), describeResult(second), countStarts()]).toEqual([
      'completed answered safe',
      'completed answered safe',
      1,
    ]);
    expect(Buffer.from(second?.answer?.body ?? []).toString()).toEqual(
      Buffer.from(first?.answer?.body ?? []).toString(),
    );
  });

  it('runs once when requests reach all entries at the same moment', async () => {
    const entries = ['entry-1', 'entry-1', 'entry-2', 'entry-3', 'entry-3'];
    const sent = Promise.all(
      entries.map(async (entry) => send(entry, { body: Buffer.from('{"runMs":700}') })),
    );
    const results = await fleet.time.settle(sent, LIMIT_MS);
    expect([...new Set(results.map(describeResult)), countStarts()]).toEqual([
      'completed answered safe',
      1,
    ]);
  });

  it('is refused with another body or from another team, and runs for neither', async () => {
    await call('entry-1');
    const results = [
      await call('entry-1', { body: Buffer.from('{"runMs":1}') }),
      await call('entry-2', { body: Buffer.from('{"runMs":1}') }),
      await call('entry-1', { secret: getTeamSecret('schools') }),
      await call('entry-3', { secret: getTeamSecret('schools') }),
    ];
    expect([...results.map(describeResult), countStarts()]).toEqual([
      'not-run idempotency-key-reused safe',
      'not-run idempotency-key-reused safe',
      'not-run idempotency-key-foreign safe',
      'not-run idempotency-key-foreign safe',
      1,
    ]);
  });

  it('is refused without running while the store is down, and runs once afterwards', async () => {
    applyStoreFaults({ down: true });
    const during = await call('entry-1');
    const startsDuring = countStarts();
    applyStoreFaults({});
    await fleet.advance(WAIT_MS);
    const after = await call('entry-2');
    expect([describeResult(during), startsDuring, describeResult(after), countStarts()]).toEqual([
      'not-run store-unavailable safe',
      0,
      'completed answered safe',
      1,
    ]);
  });

  it('runs without a claim while the store is down when it is repeatable', async () => {
    applyStoreFaults({ down: true });
    const result = await call('entry-1', { isRepeatable: true });
    expect(describeResult(result)).toEqual('completed answered safe');
  });

  it('resolves a claim write whose answer was lost by reading the row', async () => {
    applyStoreFaults({ loseAnswers: 1 });
    const result = await call('entry-1');
    const { writes } = fleet.tables.getCounts();
    const repeat = await call('entry-2');
    expect([describeResult(result), describeResult(repeat), countStarts()]).toEqual([
      'completed answered safe',
      'completed answered safe',
      1,
    ]);
    expect(writes <= 10).toEqual(true);
  });

  it('releases its key when it was not run', async () => {
    ['1', '2', '3'].forEach((host) => fleet.getWorker(`ovens-${host}`).setStopping(true));
    const first = await call('entry-1', { timeoutMs: 500 });
    ['1', '2', '3'].forEach((host) => fleet.getWorker(`ovens-${host}`).setStopping(false));
    await fleet.advance(WAIT_MS);
    const second = await call('entry-2');
    expect([describeResult(first), describeResult(second), countStarts()]).toEqual([
      'not-run deadline safe',
      'completed answered safe',
      1,
    ]);
  });

  it('lets repeats at the same entry wait until the key of an unrun call is released', async () => {
    ['1', '2', '3'].forEach((host) => fleet.getWorker(`ovens-${host}`).setStopping(true));
    const first = send('entry-1', { timeoutMs: 500 });
    const repeat = send('entry-1', { timeoutMs: 2_000 });
    await fleet.advance(450);
    applyStoreFaults({ slowMs: 300 });
    await fleet.advance(100);
    ['1', '2', '3'].forEach((host) => fleet.getWorker(`ovens-${host}`).setStopping(false));
    const results = await fleet.time.settle(Promise.all([first, repeat]), LIMIT_MS);
    expect([...results.map(describeResult), countStarts()]).toEqual([
      'not-run deadline safe',
      'completed answered safe',
      1,
    ]);
  });

  it('continues when its caller disconnects, and a repeat returns its answer', async () => {
    const disconnected = new AbortController();
    const request = {
      queue: 'ovens',
      secret: getTeamSecret('guilds'),
      idempotencyKey: 'enrolment-1',
      body: Buffer.from('{"runMs":900}'),
    };
    void fleet.call('entry-1', request, disconnected.signal);
    await fleet.advance(500);
    disconnected.abort();
    const repeat = await call('entry-2', request);
    expect([describeResult(repeat), countStarts()]).toEqual(['completed answered safe', 1]);
  });

  it('has an unknown outcome, and never runs again, when its owner was killed meanwhile', async () => {
    void send('entry-1', { timeoutMs: 5_000, body: Buffer.from('{"runMs":2000}') });
    await fleet.advance(WAIT_MS);
    fleet.killEntry('entry-1');
    const body = Buffer.from('{"runMs":2000}');
    const early = await call('entry-2', { body, timeoutMs: 1_000 });
    await fleet.advance(20_000);
    const late = await call('entry-3', { body, timeoutMs: 1_000 });
    const again = await call('entry-2', { body, timeoutMs: 1_000 });
    expect([early, late, again].map(describeResult)).toEqual([
      'unknown in-progress safe',
      'unknown owner-lost safe',
      'unknown owner-lost safe',
    ]);
    expect(countStarts()).toEqual(1);
  });

  it('is resolved long before its deadline once its owner is no longer a member', async () => {
    const body = Buffer.from('{"runMs":2000}');
    void send('entry-1', { timeoutMs: 120_000, body });
    await fleet.advance(WAIT_MS);
    fleet.killEntry('entry-1');
    await fleet.advance(20_000);
    const early = await call('entry-2', { body, timeoutMs: 1_000 });
    await fleet.advance(10_000);
    const late = await call('entry-2', { body, timeoutMs: 1_000 });
    expect([describeResult(early), describeResult(late), countStarts()]).toEqual([
      'unknown in-progress safe',
      'unknown owner-lost safe',
      1,
    ]);
  });

  it('is taken over when its owner was killed and it is repeatable', async () => {
    const options = { timeoutMs: 5_000, isRepeatable: true, body: Buffer.from('{"runMs":900}') };
    void send('entry-1', options);
    await fleet.advance(500);
    fleet.killEntry('entry-1');
    await fleet.advance(20_000);
    expect(describeResult(await call('entry-2', options))).toEqual('completed answered safe');
  });

  it('never runs again when its owner was killed before it stored the answer', async () => {
    const first = send('entry-1', { timeoutMs: 3_000, body: Buffer.from('{"runMs":800}') });
    await fleet.advance(600);
    applyStoreFaults({ down: true });
    const answered = await fleet.time.settle(first, LIMIT_MS);
    fleet.killEntry('entry-1');
    applyStoreFaults({});
    await fleet.advance(20_000);
    const repeat = await call('entry-2', { body: Buffer.from('{"runMs":800}') });
    expect([describeResult(answered), describeResult(repeat), countStarts()]).toEqual([
      'completed answered safe',
      'unknown owner-lost safe',
      1,
    ]);
  });

  it('returns the answer once its owner has stored it, after an unknown outcome', async () => {
    const first = send('entry-1', { timeoutMs: 3_000, body: Buffer.from('{"runMs":800}') });
    await fleet.advance(600);
    fleet.network.partitionBetween(['entry-1'], ['platform']);
    await fleet.time.settle(first, LIMIT_MS);
    await fleet.advance(20_000);
    const early = await call('entry-2', { body: Buffer.from('{"runMs":800}') });
    fleet.network.healAll();
    await fleet.advance(5_000);
    const late = await call('entry-2', { body: Buffer.from('{"runMs":800}') });
    expect([describeResult(early), describeResult(late), countStarts()]).toEqual([
      'unknown owner-lost safe',
      'completed answered safe',
      1,
    ]);
  });

  it('stores a large answer completely in the object store', async () => {
    const body = Buffer.from(JSON.stringify({ runMs: 20, text: 'x'.repeat(50_000) }));
    await call('entry-1', { body });
    await fleet.advance(WAIT_MS);
    const repeat = await call('entry-2', { body });
    const answer = JSON.parse(Buffer.from(repeat?.answer?.body ?? []).toString()) as {
      echo: string;
    };
    expect([answer.echo.length, countStarts()]).toEqual([body.length, 1]);
  });
});
