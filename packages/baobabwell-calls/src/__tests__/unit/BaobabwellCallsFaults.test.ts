import type { CallResult } from '../../BaobabwellCalls';
import type { EmulatedCall } from '@baobabwell/emulator';
import type { WorkerFaults } from '@baobabwell/stand-ins';

import { expect } from 'earl';

import { buildEmulatedSettings, EmulatedFleet, getTeamSecret } from '@baobabwell/emulator';
import { NO_WORKER_FAULTS } from '@baobabwell/stand-ins';

const SEED = 11;
const LIMIT_MS = 30_000;

describe('a call under faults', () => {
  let fleet: EmulatedFleet;

  beforeEach(async () => {
    const settings = buildEmulatedSettings({
      entries: 1,
      pools: [{ id: 'ovens', workers: 3, minimumServing: 1 }],
      teams: [{ id: 'guilds', share: 1, limit: 2 }],
    });
    fleet = new EmulatedFleet(settings, SEED);
    await fleet.startAll();
  });

  afterEach(() => fleet.close());

  function applyFaults(faults: Partial<WorkerFaults>, hosts = ['1', '2', '3']): void {
    hosts.forEach((host) =>
      fleet.getWorker(`ovens-${host}`).applyFaults({ ...NO_WORKER_FAULTS, ...faults }),
    );
  }

  async function call(options: Partial<EmulatedCall> = {}, signal?: AbortSignal) {
    const request = { queue: 'ovens', secret: getTeamSecret('guilds'), ...options };
    return fleet.time.settle(fleet.call('entry-1', request, signal), LIMIT_MS);
  }

  function describeResult(result: CallResult | null): string {
    return `${result?.outcome} ${result?.reason} ${result?.isRepeatSafe ? 'safe' : 'unsafe'}`;
  }

  function countEvents(event: string): number {
    return fleet.listLedger().filter((line) => (line.event as string) === event).length;
  }

  it('is retried on another worker when it is repeatable', async () => {
    applyFaults({ loseAnswers: true }, ['1', '2']);
    const results = [];
    for (let index = 0; index < 5; index += 1) {
      results.push(describeResult(await call({ isRepeatable: true })));
    }
    expect(new Set(results)).toEqual(new Set(['completed answered safe']));
  });

  it('is sent once when it is not repeatable and its answer is lost', async () => {
    applyFaults({ loseAnswers: true });
    const result = await call();
    expect([describeResult(result), countEvents('started')]).toEqual([
      'unknown answer-lost unsafe',
      1,
    ]);
  });

  it('never gets the answer of another call', async () => {
    await call();
    applyFaults({ crossAnswers: true });
    expect(describeResult(await call())).toEqual('unknown answer-lost unsafe');
  });

  it('ends as unknown at its deadline, and the worker stops the task', async () => {
    const startedAt = fleet.time.getNow();
    const result = await call({ timeoutMs: 300, body: Buffer.from('{"runMs":5000}') });
    const tookMs = fleet.time.getNow() - startedAt;
    await fleet.advance(500);
    expect([describeResult(result), tookMs < 320, countEvents('stopped')]).toEqual([
      'unknown deadline unsafe',
      true,
      1,
    ]);
  });

  it('ends as unknown when it is cancelled while running, and the worker stops the task', async () => {
    const cancelled = new AbortController();
    fleet.time.startTimer(500, () => cancelled.abort());
    const result = await call({ body: Buffer.from('{"runMs":5000}') }, cancelled.signal);
    await fleet.advance(500);
    expect([describeResult(result), countEvents('stopped')]).toEqual([
      'unknown cancelled unsafe',
      1,
    ]);
  });

  it('ends as not-run when its deadline passes while it waits for a slot', async () => {
    const long = { body: Buffer.from('{"runMs":5000}') };
    void fleet.call('entry-1', { queue: 'ovens', secret: getTeamSecret('guilds'), ...long });
    void fleet.call('entry-1', { queue: 'ovens', secret: getTeamSecret('guilds'), ...long });
    await fleet.advance(600);
    expect(describeResult(await call({ timeoutMs: 200 }))).toEqual('not-run deadline safe');
  });

  it('keeps its permit until the worker no longer runs the task', async () => {
    fleet.network.partition('ovens-1', 'entry-1');
    fleet.network.partition('ovens-2', 'entry-1');
    fleet.network.partition('ovens-3', 'entry-1');
    const long = { timeoutMs: 900, body: Buffer.from('{"runMs":20000}') };
    const results = [];
    for (let index = 0; index < 6; index += 1) {
      results.push(call(long));
      await fleet.advance(400);
    }
    const running = fleet.listWorkers().reduce((sum, worker) => sum + worker.getRunningCount(), 0);
    expect(running <= 2).toEqual(true);
    await Promise.all(results);
  });

  it('avoids a worker that fails every task, and uses it again once it is healthy', async () => {
    applyFaults({ failAll: true }, ['1']);
    const repeatable = { isRepeatable: true };
    const results = [];
    for (let index = 0; index < 40; index += 1) {
      results.push(describeResult(await call(repeatable)));
      await fleet.advance(20);
    }
    const failuresWhileFaulty = countEvents('failed');
    applyFaults({}, ['1']);
    for (let index = 0; index < 300; index += 1) {
      await call(repeatable);
      await fleet.advance(20);
    }
    const later = fleet.getWorker('ovens-1').getLedger().slice(-20);
    expect({
      results: [...new Set(results)],
      isAvoided: failuresWhileFaulty <= 5,
      isUsedAgain: later.filter((line) => (line.event as string) === 'completed').length > 5,
    }).toEqual({ results: ['completed answered safe'], isAvoided: true, isUsedAgain: true });
  });

  it('is parked after failing on three workers, which stay in use', async () => {
    applyFaults({ failAll: true });
    const first = describeResult(await call({ isRepeatable: true }));
    const second = await call({ isRepeatable: true });
    applyFaults({});
    const other = await call({ body: Buffer.from('{"runMs":1}') });
    expect([first, describeResult(second), describeResult(other)]).toEqual([
      'unknown work-failed safe',
      'not-run work-parked safe',
      'completed answered unsafe',
    ]);
    expect((second?.retryAfterMs ?? 0) > 50_000).toEqual(true);
  });

  it('abandons an unresponsive connection within three seconds after the answer was due', async () => {
    fleet.time.startTimer(500, () => {
      ['1', '2', '3'].forEach((host) => fleet.network.partition(`ovens-${host}`, 'entry-1'));
    });
    const startedAt = fleet.time.getNow();
    const result = await call({ timeoutMs: 20_000, body: Buffer.from('{"runMs":600}') });
    const tookMs = fleet.time.getNow() - startedAt;
    expect([describeResult(result), tookMs <= 500 + 3_000]).toEqual([
      'unknown answer-lost unsafe',
      true,
    ]);
  });
});
