import type { ClientLimits } from '../../index';
import type { Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import { expect } from 'earl';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';

import {
  answerClientError,
  BodyEnd,
  ClientLimit,
  computeClientLimits,
  ConnectionTable,
  findConnection,
  limitConnections,
  readBody,
} from '../../index';

const MAX_BODY_BYTES = 20_000;
const POLL_MS = 5;
const BYTES_PER_MB = 1_048_576;

const LIMITS: ClientLimits = {
  [ClientLimit.Connections]: 5,
  [ClientLimit.Calls]: 2,
  [ClientLimit.Bytes]: 230_000,
};

type Client = { readonly socket: Socket; received: string };

describe('limits of connections', () => {
  let table: ConnectionTable;
  let server: Server;
  let clients: Client[];
  let events: string[];
  let handlers: number;
  let maxHandlers: number;
  let endCalls: (() => void)[];

  beforeEach(async () => {
    clients = [];
    events = [];
    endCalls = [];
    handlers = 0;
    maxHandlers = 0;
    table = new ConnectionTable(LIMITS, {
      recordStart: (limit) => events.push(`start ${limit}`),
      recordEnd: (limit, count) => events.push(`end ${limit} ${count}`),
      recordReached: () => {},
    });
    // Answers calls to /wait once `endCalls` are called, and others with the end of their body.
    server = createServer(async (request, response) => {
      handlers += 1;
      maxHandlers = Math.max(maxHandlers, handlers);
      const read = await readBody(request, MAX_BODY_BYTES);
      const size = read.end === BodyEnd.Whole ? read.body.length : 0;
      const endCall = table.startCall(findConnection(request), size);
      if (request.url === '/wait') {
        await new Promise<void>((resolve) => {
          endCalls.push(resolve);
        });
      }
      endCall?.();
      handlers -= 1;
      response.end(endCall === null ? 'refused' : `${read.end} ${size}`);
    });
    server.on('clientError', answerClientError);
    limitConnections(server, table);
    await once(server.listen(0, '127.0.0.1'), 'listening');
  });

  afterEach(async () => {
    endCalls.forEach((end) => end());
    clients.forEach(({ socket }) => socket.destroy());
    server.closeAllConnections();
    await new Promise((resolve) => {
      server.close(resolve);
    });
  });

  async function open(...pieces: readonly string[]): Promise<Client> {
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    const client = { socket, received: '' };
    socket.on('data', (chunk: Buffer) => {
      client.received += chunk.toString();
    });
    socket.on('error', () => socket.destroy());
    clients.push(client);
    await once(socket, 'connect');
    pieces.forEach((piece) => socket.write(piece));
    return client;
  }

  async function waitUntil(isDone: () => boolean): Promise<void> {
    while (!isDone()) {
      await wait(POLL_MS);
    }
  }

  const get = (path: string): string => `GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`;
  const post = (size: number): string =>
    `POST / HTTP/1.1\r\nhost: a\r\ncontent-length: ${size}\r\n\r\n`;
  const CHUNKED = 'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n';

  it('follow from the memory and the descriptors of the machine', () => {
    const compute = (memoryMb: number, descriptors: number): readonly number[] =>
      Object.values(computeClientLimits({ memoryBytes: memoryMb * BYTES_PER_MB, descriptors }));
    expect([compute(250, 4_100), compute(602, 8_192), compute(350, 400), compute(10, 100)]).toEqual(
      [
        [1_000, 1_000, 26_214_400],
        [2_408, 2_408, 63_124_275],
        [100, 100, 36_700_160],
        [16, 16, 4_194_304],
      ],
    );
  });

  it('hand on one request at a time, in order', async () => {
    const client = await open(get('/').repeat(300));
    await waitUntil(() => client.received.split('whole 0').length > 300);
    expect([maxHandlers, table.getUsed(ClientLimit.Bytes)]).toEqual([1, 0]);
  });

  it('hand on one request at a time although headers end with a line feed alone', async () => {
    const client = await open('GET / HTTP/1.1\r\nhost: a\r\n\n'.repeat(300));
    await waitUntil(() => client.received.split('whole 0').length > 300);
    expect(maxHandlers).toEqual(1);
  });

  it('close the connection that has waited longest for its client, and none with a call', async () => {
    const [calling, silent] = [await open(get('/wait')), await open()];
    await open();
    await waitUntil(() => endCalls.length === 1);
    const answered = await open(get('/'));
    await waitUntil(() => answered.received !== '');
    const newest = await open(get('/'));
    await waitUntil(() => newest.received !== '');
    await open();
    await waitUntil(() => silent.socket.closed);
    expect([calling, silent, answered].map(({ socket }) => socket.closed)).toEqual([
      false,
      true,
      false,
    ]);
    expect(events).toEqual(['start connections']);
    answered.socket.destroy();
    newest.socket.destroy();
    await waitUntil(() => events.length > 1);
    expect(events).toEqual(['start connections', 'end connections 1']);
  });

  it('refuse calls at their bound, also when the clients of others have left', async () => {
    const gone = await open(get('/wait'));
    await open(get('/wait'));
    await waitUntil(() => endCalls.length === 2);
    gone.socket.destroy();
    const client = await open(get('/'));
    await waitUntil(() => client.received !== '');
    expect(client.received).toInclude('refused');
  });

  it('count blocks for a body of small chunks', async () => {
    const client = await open(CHUNKED, '1\r\nx\r\n'.repeat(10_000));
    await waitUntil(() => table.getUsed(ClientLimit.Bytes) === 16_384);
    client.socket.write('0\r\n\r\n');
    await waitUntil(() => client.received !== '');
    expect([client.received.includes('whole 10000'), table.getUsed(ClientLimit.Bytes)]).toEqual([
      true,
      0,
    ]);
  });

  it('close the connection whose bytes have been kept for longest', async () => {
    const header = `GET / HTTP/1.1\r\nx: ${'h'.repeat(15_000)}`;
    const [first, second] = [await open(header), await open(header)];
    const isKept = (bytes: number) => () => table.getUsed(ClientLimit.Bytes) === bytes;
    await waitUntil(isKept(2 * 3 * header.length));
    first.socket.write('h');
    await open(CHUNKED, `${MAX_BODY_BYTES.toString(16)}\r\n${'x'.repeat(MAX_BODY_BYTES)}`);
    await waitUntil(isKept(2 * 3 * header.length + 3 + 2 * 16_384));
    await open(header);
    await open(header);
    await waitUntil(() => first.socket.closed);
    expect([first.socket.closed, second.socket.closed]).toEqual([true, false]);
  });

  it('answer a client whose body is too large although it still sends', async () => {
    const client = await open(CHUNKED);
    const chunk = `10000\r\n${'x'.repeat(65_536)}\r\n`;
    const timer = setInterval(() => client.socket.write(chunk), 1);
    await waitUntil(() => client.socket.closed);
    clearInterval(timer);
    expect(client.received).toInclude('too-large 0');
  });

  it('serve a body that waits for its expectation, an upgrade, and a read with a body', async () => {
    const client = await open(
      'POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\n',
    );
    await waitUntil(() => client.received.includes('100 Continue'));
    client.socket.write('ab');
    await waitUntil(() => client.received.includes('whole 2'));
    client.socket.write('GET / HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n');
    await waitUntil(() => client.received.includes('whole 0'));
    client.socket.write(`GET / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc${get('/')}`);
    await waitUntil(() => client.received.split('whole 0').length === 3);
    expect(client.received).toInclude('whole 3');
  });

  it('serve the next request after a body that is too large', async () => {
    const client = await open(post(MAX_BODY_BYTES + 1), 'x'.repeat(MAX_BODY_BYTES + 1), get('/'));
    await waitUntil(() => client.received.includes('whole 0'));
    expect(client.received).toInclude('too-large 0');
  });

  it('deny no submission because of its headers, which may repeat an accepted one', async () => {
    const header = `x: ${'h'.repeat(20_000)}`;
    const reads = await open(`GET / HTTP/1.1\r\n${header}`);
    const submits = await open(`POST / HTTP/1.1\r\n${header}`);
    await waitUntil(() => reads.socket.closed && submits.socket.closed);
    expect([reads, submits].map(({ received }) => received.slice(9, 12))).toEqual(['431', '504']);
  });
});
