import type { AnswerStream } from '../../BaobabwellWorkersAnswerStream';
import type { Task } from '../../BaobabwellWorkersClient';
import type { AddressInfo, Server, Socket } from 'node:net';

import { expect } from 'earl';
import { once } from 'node:events';
import { createServer } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';

import { PriorityClass } from '@baobabwell/model';

import { HttpWorkerClient } from '../../BaobabwellWorkersHttp';

const MEGABYTE = 1024 * 1024;
const ANSWER_BYTES = 32 * MEGABYTE;
const CHUNK = Buffer.alloc(64 * 1024, 'x');
const SETTLE_MS = 150;

const TASK: Task = {
  id: 'call-1.0',
  holder: 'entry-1.a',
  team: 'guilds',
  queue: 'seats',
  contentType: 'application/json',
  body: Buffer.from('{}'),
  priority: PriorityClass.Normal,
  isStreamable: true,
  timeoutMs: 1_000,
  canStart: () => true,
};

describe('a streamed answer', () => {
  let server: Server;
  let client: HttpWorkerClient;
  let sentBytes: number;
  let stopAt: number;

  async function sendAnswer(socket: Socket): Promise<void> {
    socket.write(`HTTP/1.1 200 OK\r\ntask-id: call-1.0\r\ncontent-length: ${ANSWER_BYTES}\r\n\r\n`);
    while (sentBytes < stopAt && !socket.destroyed) {
      sentBytes += CHUNK.length;
      if (!socket.write(CHUNK)) {
        await new Promise((resolve) => {
          socket.once('drain', resolve);
        });
      }
    }
    if (stopAt < ANSWER_BYTES) {
      socket.destroy();
    }
  }

  beforeEach(async () => {
    sentBytes = 0;
    stopAt = ANSWER_BYTES;
    server = createServer((socket) => {
      socket.on('error', () => {});
      socket.once('data', () => {
        void sendAnswer(socket);
      });
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    client = new HttpWorkerClient(`127.0.0.1:${(server.address() as AddressInfo).port}`, 1);
  });

  afterEach(async () => {
    await client.close();
    server.close();
  });

  async function openStream(signal = new AbortController().signal): Promise<AnswerStream> {
    const outcome = await client.run(TASK, signal);
    if (outcome.kind !== 'answered' || outcome.answer.stream === null) {
      throw new Error(`no stream: ${outcome.kind}`);
    }
    return outcome.answer.stream;
  }

  async function readAll(stream: AnswerStream): Promise<number> {
    let bytes = 0;
    for await (const chunk of stream) {
      bytes += (chunk as Buffer).length;
    }
    return bytes;
  }

  it('arrives complete', async () => {
    const stream = await openStream();
    expect([await readAll(stream), await stream.ended]).toEqual([ANSWER_BYTES, true]);
  });

  it('pauses the worker while its consumer reads nothing', async () => {
    const stream = await openStream();
    await wait(SETTLE_MS);
    const sentBeforePause = sentBytes;
    await wait(SETTLE_MS);
    expect([sentBeforePause < ANSWER_BYTES / 2, sentBytes]).toEqual([true, sentBeforePause]);
    expect(await readAll(stream)).toEqual(ANSWER_BYTES);
  });

  it('ends with an error when it is truncated', async () => {
    stopAt = 4 * MEGABYTE;
    const stream = await openStream();
    await expect(readAll(stream)).toBeRejected();
    expect(await stream.ended).toEqual(false);
  });

  it('ends with an error when its call is abandoned', async () => {
    const abandoned = new AbortController();
    const stream = await openStream(abandoned.signal);
    abandoned.abort();
    await expect(readAll(stream)).toBeRejected();
    expect(await stream.ended).toEqual(false);
  });
});
