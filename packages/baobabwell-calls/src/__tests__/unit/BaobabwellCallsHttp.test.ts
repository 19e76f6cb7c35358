import type { CallRequest, CallResult } from '../../BaobabwellCalls';
import type { CallService } from '../../BaobabwellCallsService';
import type { AnswerStream } from '@baobabwell/workers';
import type { FastifyInstance } from 'fastify';
import type { AddressInfo } from 'node:net';

import { expect } from 'earl';
import { once } from 'node:events';
import { connect } from 'node:net';
import { Readable } from 'node:stream';
import { request } from 'undici';

import { Outcome } from '@baobabwell/model';

import { CallReason } from '../../BaobabwellCalls';
import { buildCallServer } from '../../BaobabwellCallsHttp';
import { createNotRun, createUnknown } from '../../BaobabwellCallsResults';

const PATH = '/v1/queues/seats/calls';
const MEGABYTE = 1024 * 1024;

type Reply = {
  readonly status: number;
  readonly outcome: unknown;
  readonly reason: unknown;
  readonly retryAfter: unknown;
  readonly body: unknown;
};

describe('the call server', () => {
  let server: FastifyInstance;
  let run: (request: CallRequest, signal: AbortSignal) => Promise<CallResult>;

  beforeEach(() => {
    run = async () => createNotRun(CallReason.QueueFull, 2_500);
    const service = {
      run: async (request: CallRequest, signal: AbortSignal) => run(request, signal),
    };
    server = buildCallServer(service as unknown as CallService, () => {});
  });

  afterEach(async () => server.close());

  async function send(headers: Record<string, string>, payload = '{}'): Promise<Reply> {
    const reply = await server.inject({ method: 'POST', url: PATH, headers, payload });
    const { callId, ...body } = reply.json<Record<string, unknown>>();
    return {
      status: reply.statusCode,
      outcome: reply.headers['call-outcome'],
      reason: reply.headers['call-reason'],
      retryAfter: reply.headers['retry-after'],
      body,
    };
  }

  it('sends outcome, reason and retry delay with a refusal', async function () {
    expect(await send({})).toMatchSnapshot(this);
  });

  it('sends the unknown outcome of work that is not repeatable', async function () {
    run = async () => createUnknown(CallReason.AnswerLost, false);
    expect(await send({})).toMatchSnapshot(this);
  });

  it('reports all invalid headers together', async function () {
    const headers = { 'call-timeout-ms': '-3', 'call-priority': 'first', 'call-repeatable': '?' };
    expect(await send(headers)).toMatchSnapshot(this);
  });

  it('refuses a body above the limit', async function () {
    expect(await send({}, 'x'.repeat(MEGABYTE + 1))).toMatchSnapshot(this);
  });

  it('reports an internal error as unknown rather than not-run', async function () {
    run = async () => {
      throw new Error('broken');
    };
    expect(await send({})).toMatchSnapshot(this);
  });

  it('sends an outcome for a path that does not exist', async () => {
    const reply = await server.inject({ method: 'POST', url: '/nowhere' });
    expect([reply.statusCode, reply.headers['call-outcome']]).toEqual([404, 'not-run']);
  });

  it('sends an outcome for input that is not HTTP', async () => {
    await server.listen({ port: 0, host: '127.0.0.1' });
    const socket = connect((server.server.address() as AddressInfo).port, '127.0.0.1');
    socket.write('nonsense\r\n\r\n');
    const [data] = (await once(socket, 'data')) as [Buffer];
    socket.destroy();
    expect(data.toString().includes('call-outcome: not-run')).toEqual(true);
  });

  it('closes connections that send only part of a request header', async function () {
    this.timeout(20_000);
    await server.listen({ port: 0, host: '127.0.0.1' });
    const { port } = server.server.address() as AddressInfo;
    const sockets = Array.from({ length: 50 }, () => connect(port, '127.0.0.1'));
    const startedAt = performance.now();
    await Promise.all(
      sockets.map(async (socket) => {
        socket.write(`POST ${PATH} HTTP/1.1\r\nhost: a\r\nx-half`);
        socket.resume();
        await once(socket, 'close');
      }),
    );
    expect(performance.now() - startedAt < 10_000).toEqual(true);
  });

  it('resets the connection when an answer is truncated after its headers', async () => {
    const stream = Object.assign(new Readable({ read: () => {} }), { length: MEGABYTE });
    stream.push(Buffer.alloc(1_000));
    run = async () => ({
      ...createUnknown(CallReason.Answered, false),
      outcome: Outcome.Completed,
      answer: {
        status: 200,
        contentType: 'text/plain',
        body: Buffer.alloc(0),
        stream: stream as unknown as AnswerStream,
      },
    });
    await server.listen({ port: 0, host: '127.0.0.1' });
    const { port } = server.server.address() as AddressInfo;
    const url = `http://127.0.0.1:${port}${PATH}`;
    const reply = await request(url, { method: 'POST', body: '{}' });
    setTimeout(() => stream.destroy(new Error('truncated')), 20);
    await expect(reply.body.bytes()).toBeRejected();
  });

  it('cancels the call when its caller disconnects', async () => {
    const cancelled = new Promise<void>((resolve) => {
      run = async (_request, signal) =>
        new Promise((finish) => {
          signal.addEventListener('abort', () => {
            finish(createUnknown(CallReason.Cancelled, false));
            resolve();
          });
        });
    });
    await server.listen({ port: 0, host: '127.0.0.1' });
    const socket = connect((server.server.address() as AddressInfo).port, '127.0.0.1');
    socket.write(`POST ${PATH} HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n{}`);
    setTimeout(() => socket.destroy(), 20);
    await cancelled;
  });
});
