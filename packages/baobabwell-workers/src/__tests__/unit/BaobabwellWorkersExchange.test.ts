import type { Task, TaskOutcome } from '../../BaobabwellWorkersClient';
import type { AddressInfo, Server, Socket } from 'node:net';

import { expect } from 'earl';
import { once } from 'node:events';
import { createServer } from 'node:net';

import { PriorityClass } from '@baobabwell/model';

import { HttpWorkerClient } from '../../BaobabwellWorkersHttp';

const DELAY_MS = 50;

type Answer = (socket: Socket, request: string) => void;

function createTask(canStart = true): Task {
  return {
    id: 'call-1.0',
    holder: 'entry-1.a',
    team: 'guilds',
    queue: 'seats',
    contentType: 'application/json',
    body: Buffer.from('{}'),
    priority: PriorityClass.Normal,
    isStreamable: true,
    timeoutMs: 1_000,
    canStart: () => canStart,
  };
}

function buildAnswer(taskId: string, body: string, length = body.length): string {
  return `HTTP/1.1 200 OK\r\ntask-id: ${taskId}\r\ncontent-length: ${length}\r\n\r\n${body}`;
}

describe('a task exchange', () => {
  let server: Server;
  let client: HttpWorkerClient;
  let received: string[];
  let connections: number;
  /** Number of the connection on which each request arrived. */
  let origins: number[];
  let answer: Answer;

  beforeEach(async () => {
    received = [];
    connections = 0;
    origins = [];
    server = createServer((socket) => {
      connections += 1;
      const connection = connections;
      socket.on('error', () => {});
      socket.on('data', (data) => {
        received.push(data.toString());
        if (data.toString().includes('{}')) {
          origins.push(connection);
          answer(socket, data.toString());
        }
      });
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    client = new HttpWorkerClient(`127.0.0.1:${(server.address() as AddressInfo).port}`, 2);
  });

  afterEach(async () => {
    await client.close();
    server.close();
  });

  async function runTask(task: Task, abortAfterMs: number | null = null): Promise<TaskOutcome> {
    const abandoned = new AbortController();
    if (abortAfterMs !== null) {
      setTimeout(() => abandoned.abort(), abortAfterMs);
    }
    return client.run(task, abandoned.signal);
  }

  it('is answered by a complete answer with its own identifier', async () => {
    answer = (socket) => socket.write(buildAnswer('call-1.0', 'done'));
    const outcome = await runTask(createTask());
    expect(outcome.kind === 'answered' && Buffer.from(outcome.answer.body).toString()).toEqual(
      'done',
    );
  });

  it('returns the task identifier of its answer', async () => {
    answer = (socket) => socket.write(buildAnswer('call-2.0', 'done'));
    const outcome = await runTask(createTask());
    expect(outcome.kind === 'answered' && outcome.answer.taskId).toEqual('call-2.0');
  });

  it('is lost when the answer ends before its declared length', async () => {
    answer = (socket) => socket.end(buildAnswer('call-1.0', 'done', 100));
    expect((await runTask(createTask())).kind).toEqual('lost');
  });

  it('is lost when a chunked answer has no end marker', async () => {
    answer = (socket) =>
      socket.end(
        'HTTP/1.1 200 OK\r\ntask-id: call-1.0\r\ntransfer-encoding: chunked\r\n\r\n4\r\ndone\r\n',
      );
    expect((await runTask(createTask())).kind).toEqual('lost');
  });

  it('sends no byte when it may not start any more', async () => {
    answer = (socket) => socket.write(buildAnswer('call-1.0', 'done'));
    const outcome = await runTask(createTask(false));
    await new Promise((resolve) => {
      setTimeout(resolve, DELAY_MS);
    });
    expect({ kind: outcome.kind, received }).toEqual({ kind: 'not-sent', received: [] });
  });

  it('is not sent when the worker does not listen', async () => {
    server.close();
    await once(server, 'close');
    expect((await runTask(createTask())).kind).toEqual('not-sent');
  });

  it('is lost when it is abandoned, and its connection is not reused', async () => {
    answer = () => {};
    const first = await runTask(createTask(), DELAY_MS);
    answer = (socket) => socket.write(buildAnswer('call-1.0', 'done'));
    const second = await runTask(createTask());
    expect([first.kind, second.kind, origins.length]).toEqual(['lost', 'answered', 2]);
    expect(origins[0] === origins[1]).toEqual(false);
  });

  it('uses new connections after a replacement, while exchanges on old ones finish', async () => {
    answer = (socket) => setTimeout(() => socket.write(buildAnswer('call-1.0', 'old')), DELAY_MS);
    const old = runTask(createTask());
    await new Promise((resolve) => {
      setTimeout(resolve, DELAY_MS / 2);
    });
    client.replaceConnections(2);
    answer = (socket) => socket.write(buildAnswer('call-1.0', 'new'));
    expect([(await runTask(createTask())).kind, (await old).kind, origins]).toEqual([
      'answered',
      'answered',
      [1, 2],
    ]);
  });
});
