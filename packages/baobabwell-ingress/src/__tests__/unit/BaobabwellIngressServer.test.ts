import type { AnsweredCall, ClientRequest, RawCall, WireAnswer } from '../../index';
import type { Release } from '@baobabwell/connection-limits';
import type { FleetConfiguration } from '@baobabwell/fleet';
import type { CancelTimer } from '@baobabwell/utils';
import type { FastifyInstance } from 'fastify';
import type { AddressInfo, Socket } from 'node:net';

import { expect } from 'earl';
import { once } from 'node:events';
import { connect } from 'node:net';

import { computeClientLimits, ConnectionTable } from '@baobabwell/connection-limits';
import { EmulatedTime } from '@baobabwell/emulator';
import { EmulatedJobStore, EmulatedRows, NO_STORE_FAULTS } from '@baobabwell/job-emulator';
import { Logger, LogLevel } from '@baobabwell/logging';
import { Random } from '@baobabwell/utils';

import {
  AnswerKind,
  AnswerTiming,
  ClientProtocol,
  ClientRequestKind,
  IngressServer,
  JobSubmissionService,
  OwnerClient,
} from '../../index';

const REQUEST_ID = 'r-17';
const JOB = '00000000000000a1';
const MAX_CALLS = 100;
const SPEC = { payload: '', steps: [], repeat: null };

/** Decodes calls as submissions and counts of waiting jobs, and returns the kind of their answers as the body. */
class FakeProtocol extends ClientProtocol {
  override readonly readyPath = '/ready';

  override findKey(): string | null {
    return null;
  }

  override findRequestId(): string | null {
    return REQUEST_ID;
  }

  override findWaitMs({ 'x-wait': text }: Readonly<Record<string, unknown>>): number | null {
    return text === undefined ? null : Number(text);
  }

  override findJobId(): string {
    return JOB;
  }

  override parseRequest({ method }: RawCall): ClientRequest {
    return method === 'POST'
      ? { kind: ClientRequestKind.Submit, jobId: JOB, spec: SPEC }
      : { kind: ClientRequestKind.CountWaiting };
  }

  override formatAnswer({ kind }: { readonly kind: AnswerKind }): WireAnswer {
    return { status: 200, headers: {}, body: { kind } };
  }
}

class UnresponsiveOwner extends OwnerClient {
  /** True while calls get no answer at all. */
  isSilent = false;

  /** Time until an offer is given up, in ms. */
  offerMs = 0;

  readonly #time: EmulatedTime;

  constructor(time: EmulatedTime) {
    super();
    this.#time = time;
  }

  override async offer(): Promise<null> {
    if (this.offerMs > 0) {
      await this.#time.wait(this.offerMs);
    }
    return null;
  }

  override async findState(): Promise<null> {
    return null;
  }

  /** Waits, and then knows the count. */
  wait: (() => Promise<void>) | null = null;

  override async countWaiting(): Promise<number | null> {
    if (this.wait !== null) {
      await this.wait();
      return 3;
    }
    return this.isSilent ? new Promise(() => {}) : null;
  }
}

/** The clock of a process that may handle its timers late. */
class LateClock extends EmulatedTime {
  timerDelayMs = 0;

  override startTimer(delayMs: number, callback: () => void): CancelTimer {
    return super.startTimer(delayMs + this.timerDelayMs, callback);
  }
}

const CONFIGURATION = {
  version: 4,
  queues: [{ name: 'bakes', httpHost: 'bakery.example', pathPrefix: '/bakes/', isOpen: true }],
  pools: [],
  organisations: [],
  maxBodyBytes: 1_000,
} as unknown as FleetConfiguration;

describe('IngressServer', () => {
  let configuration: FleetConfiguration | null;
  let isOutdated: boolean;
  let ingress: IngressServer;
  let owner: UnresponsiveOwner;
  let rows: EmulatedRows;
  let server: FastifyInstance;
  let calls: AnsweredCall[];
  let lines: string[];
  let time: LateClock;
  let isStopping: boolean;
  let confirm: () => boolean;
  let waitsMs: number[];
  let loopDelayMs: number;
  let connections: ConnectionTable;

  beforeEach(() => {
    time = new LateClock();
    isStopping = false;
    confirm = () => false;
    waitsMs = [];
    loopDelayMs = 0;
    configuration = CONFIGURATION;
    isOutdated = false;
    calls = [];
    lines = [];
    const logger = new Logger(LogLevel.Info, {}, (line) => lines.push(line));
    rows = new EmulatedRows();
    const store = new EmulatedJobStore(time, time, new Random(1), rows);
    owner = new UnresponsiveOwner(time);
    connections = new ConnectionTable(
      computeClientLimits({ memoryBytes: 350_000_000, descriptors: 200 + 2 * MAX_CALLS }),
      { recordStart: () => {}, recordEnd: () => {}, recordReached: () => {} },
    );
    ingress = new IngressServer({
      connections,
      protocol: new FakeProtocol(),
      submissions: new JobSubmissionService({
        store,
        owner,
        clock: time,
        logger,
        maxRowBytes: 65_536,
        getMaxUnofferedBytes: () => Infinity,
      }),
      clock: time,
      logger,
      getConfiguration: () => configuration,
      isOutdated: () => isOutdated,
      waitUntilCurrent: async (maxMs) => {
        waitsMs.push(maxMs);
        return confirm();
      },
      isStopping: () => isStopping,
      takeLoopDelayMs: () => loopDelayMs,
      recordCall: (call) => calls.push(call),
    });
    server = ingress.buildCallerServer();
  });

  afterEach(async () => server.close());

  async function request(url: string): Promise<AnswerKind> {
    const reply = await server.inject({ url, headers: { host: 'bakery.example:80' } });
    return reply.json<{ kind: AnswerKind }>().kind;
  }

  it('serves no call by a configuration that may be outdated, neither to admit nor to refuse it', async () => {
    isOutdated = true;
    expect(await request('/cakes/')).toEqual(AnswerKind.Unavailable);
    expect(await request('/bakes/')).toEqual(AnswerKind.Unavailable);
    expect(lines.at(-1) ?? '').toInclude(
      'reason="the configuration may be outdated" retryAfterMs=1000',
    );
  });

  it('lets calls about accepted jobs, and no submission, wait for a share of their time until the configuration is confirmed', async () => {
    isOutdated = true;
    const headers = { host: 'bakery.example', 'x-wait': '1000' };
    owner.wait = async () => {};
    confirm = () => {
      configuration = { ...CONFIGURATION, version: 5 };
      return true;
    };
    const methods = ['GET', 'DELETE', 'POST'] as const;
    const kinds: AnswerKind[] = [];
    for (const method of methods) {
      const reply = await server.inject({ method, url: '/bakes/', headers });
      kinds.push(reply.json<{ kind: AnswerKind }>().kind);
    }
    expect([kinds, waitsMs]).toEqual([
      [AnswerKind.WaitingCount, AnswerKind.WaitingCount, AnswerKind.Unavailable],
      [300, 300],
    ]);
  });

  it('serves a call that waited by the configuration that was confirmed, which may have no such queue any more', async () => {
    isOutdated = true;
    confirm = () => {
      configuration = { ...CONFIGURATION, version: 5, queues: [] };
      return true;
    };
    expect(await request('/bakes/')).toEqual(AnswerKind.UnknownQueue);
  });

  it('distinguishes an unknown queue from a process that cannot serve calls', async () => {
    expect(await request('/cakes/')).toEqual(AnswerKind.UnknownQueue);
    expect(await request('/bakes/')).toEqual(AnswerKind.Unavailable);
    configuration = null;
    expect(await request('/cakes/')).toEqual(AnswerKind.Unavailable);
    expect(calls.map(({ queue }) => queue)).toEqual([null, 'bakes', null]);
  });

  it('logs every failed call with the request id of the caller', async () => {
    await request('/bakes/');
    const [line = ''] = lines;
    expect(line.includes(`event=call-answered requestId=${REQUEST_ID} `)).toEqual(true);
    expect(line.includes('answer=unavailable reason="neither the owner')).toEqual(true);
    expect(line.includes(' configuration=4 ')).toEqual(true);
  });

  async function submitBody(size: number, queue = 'bakes'): Promise<AnswerKind> {
    const headers = { host: 'bakery.example' };
    const payload = 'x'.repeat(size);
    const replied = server.inject({ method: 'POST', url: `/${queue}/`, headers, payload });
    let isAnswered = false;
    void replied.then(() => {
      isAnswered = true;
    });
    while (!isAnswered) {
      await time.advance(10);
      await new Promise(setImmediate);
    }
    return (await replied).json<{ kind: AnswerKind }>().kind;
  }

  it('refuses a body that is too large, unless a job of its id was accepted before', async () => {
    const kinds = [
      await submitBody(1_001),
      await submitBody(1_001, 'cakes'),
      await submitBody(1_000),
    ];
    expect([...kinds, await submitBody(1_001)]).toEqual([
      AnswerKind.TooLarge,
      AnswerKind.UnknownQueue,
      AnswerKind.Accepted,
      AnswerKind.Accepted,
    ]);
  });

  it('denies no submission while too many calls are under way', async () => {
    const endCalls: (Release | null)[] = [];
    for (let call = 0; call < MAX_CALLS; call += 1) {
      endCalls.push(connections.startCall(null, 0));
    }
    const refused = [await request('/bakes/'), await submitBody(10)];
    endCalls.forEach((end) => end?.());
    expect([...refused, await submitBody(10)]).toEqual([
      AnswerKind.Unavailable,
      AnswerKind.UnknownOutcome,
      AnswerKind.Accepted,
    ]);
  });

  async function readLate(tookMs: number, waitMs: string | null): Promise<void> {
    // Counts of earlier calls are too old by then.
    await time.advance(2_000);
    owner.wait = async () => time.advance(tookMs);
    const headers = { host: 'bakery.example', ...(waitMs === null ? {} : { 'x-wait': waitMs }) };
    await server.inject({ url: '/bakes/', headers });
  }

  it('answers each call before its caller leaves, whether or not its outcome is known', async () => {
    await readLate(1_000, '500');
    await readLate(4_000, null);
    expect(calls.map(({ answer, timing, tookMs }) => [answer, timing, tookMs])).toEqual([
      [AnswerKind.Unavailable, AnswerTiming.InTime, 400],
      [AnswerKind.Unavailable, AnswerTiming.InTime, 2_900],
    ]);
  });

  it('logs reads that were answered after the wait of their caller, and no other', async () => {
    time.timerDelayMs = 10_000;
    await readLate(400, '500');
    await readLate(3_000, null);
    expect([lines, calls.map(({ timing }) => timing)]).toEqual([
      [],
      [AnswerTiming.InTime, AnswerTiming.InTime],
    ]);
    await readLate(501, '500');
    await readLate(3_001, null);
    expect(lines.map((line) => line.replace(/^.*event=/, ''))).toEqual([
      `call-answered-late requestId=${REQUEST_ID} job=null queue=bakes request=count-waiting answer=waiting tookMs=501 waitMs=500`,
      `call-answered-late requestId=${REQUEST_ID} job=null queue=bakes request=count-waiting answer=waiting tookMs=3001 waitMs=3000`,
    ]);
    expect(calls.at(-1)?.timing).toEqual(AnswerTiming.Late);
  });

  it('logs reads whose caller closed the connection before the answer', async () => {
    let answer = (): void => {};
    owner.wait = async () =>
      new Promise<void>((resolve) => {
        answer = resolve;
      });
    await server.listen({ port: 0, host: '127.0.0.1' });
    const { port } = server.server.address() as AddressInfo;
    const isReceived = once(server.server, 'request');
    const socket = connect(port, '127.0.0.1');
    const isAccepted = once(server.server, 'connection');
    socket.write('GET /bakes/ HTTP/1.1\r\nhost: bakery.example\r\n\r\n');
    const [accepted] = (await isAccepted) as [Socket];
    await isReceived;
    await new Promise(setImmediate);
    socket.destroy();
    await once(accepted, 'close');
    answer();
    await new Promise(setImmediate);
    expect([calls.map(({ timing }) => timing), lines.length]).toEqual([
      [AnswerTiming.Abandoned],
      1,
    ]);
    expect(lines[0] ?? '').toInclude(`event=call-abandoned requestId=${REQUEST_ID} `);
  });

  it('logs each change of readiness with its reason', async () => {
    const probes = ingress.buildReadinessServer();
    const statuses: number[] = [];
    const probe = async (): Promise<void> => {
      statuses.push((await probes.inject('/ready')).statusCode);
    };
    configuration = null;
    await probe();
    configuration = CONFIGURATION;
    await probe();
    await probe();
    isOutdated = true;
    await probe();
    isStopping = true;
    await probe();
    await probe();
    expect(statuses).toEqual([503, 200, 200, 503, 503, 503]);
    expect(lines.map((line) => line.replace(/^.*event=/, ''))).toEqual([
      'readiness-changed isReady=false reason=no-configuration',
      'readiness-changed isReady=true reason=null',
      'readiness-changed isReady=false reason=outdated-configuration',
      'readiness-changed isReady=false reason=stopping',
    ]);
  });

  it('logs a probe that may have been answered late because the process was', async () => {
    const probes = ingress.buildReadinessServer();
    loopDelayMs = 200;
    await probes.inject('/ready');
    await time.advance(1_700);
    loopDelayMs = 900;
    await probes.inject('/ready');
    expect(lines.map((line) => line.replace(/^.*event=/, '')).slice(1)).toEqual([
      'readiness-probe-late loopDelayMs=900 sincePreviousMs=1700 isReady=true',
    ]);
  });

  it('closes connections that send an incomplete request header', async function () {
    this.timeout(20_000);
    await server.listen({ port: 0, host: '127.0.0.1' });
    const { port } = server.server.address() as AddressInfo;
    const startedAt = performance.now();
    await Promise.all(
      Array.from({ length: 50 }, async () => {
        const socket = connect(port, '127.0.0.1');
        socket.write('GET /bakes/ HTTP/1.1\r\nhost: a\r\nx-half');
        socket.resume();
        await once(socket, 'close');
      }),
    );
    expect(performance.now() - startedAt < 10_000).toEqual(true);
  });

  async function submit(): Promise<AnswerKind> {
    const headers = { host: 'bakery.example', 'x-wait': '500' };
    const reply = server.inject({ method: 'POST', url: '/bakes/', headers });
    // The call reaches the server in a later turn.
    await new Promise(setImmediate);
    await time.advance(3_000);
    return (await reply).json<{ kind: AnswerKind }>().kind;
  }

  it('refuses a submission of which nothing was sent before its caller leaves, and sends nothing later', async () => {
    owner.offerMs = 800;
    expect(await submit()).toEqual(AnswerKind.Unavailable);
    expect(rows.version).toEqual(0);
  });

  it('does not refuse a submission that was sent to a store without an answer', async () => {
    rows.faults = { ...NO_STORE_FAULTS, lostFraction: 1 };
    expect(await submit()).toEqual(AnswerKind.UnknownOutcome);
    owner.offerMs = 800;
    expect(await submit()).toEqual(AnswerKind.UnknownOutcome);
  });

  it('answers calls that still wait, and later ones, when the process ends', async () => {
    owner.isSilent = true;
    const post = { method: 'POST', url: '/bakes/', headers: { host: 'bakery.example' } } as const;
    const waiting = [request('/bakes/'), server.inject(post)] as const;
    await new Promise(setImmediate);
    ingress.endCalls();
    const [read, { body }] = await Promise.all(waiting);
    expect([read, body, await request('/bakes/')]).toEqual([
      AnswerKind.Unavailable,
      JSON.stringify({ kind: AnswerKind.UnknownOutcome }),
      AnswerKind.Unavailable,
    ]);
  });
});
