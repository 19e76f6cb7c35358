import type { AddressInfo, Server } from 'node:net';

import { expect } from 'earl';
import { createServer } from 'node:http';
import { Agent, request } from 'undici';

import { createConnector } from '../../index';

const TIMEOUT_MS = 150;

describe('createConnector', () => {
  let server: Server;
  let agent: Agent;

  beforeEach(async () => {
    server = createServer((_request, response) => response.end('ready'));
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    agent = new Agent({ connect: createConnector(TIMEOUT_MS) });
  });

  afterEach(async () => {
    await agent.destroy();
    server.close();
  });

  async function requestText(): Promise<string> {
    const { port } = server.address() as AddressInfo;
    const { body } = await request(`http://127.0.0.1:${port}/`, { dispatcher: agent });
    return body.text();
  }

  it('opens a connection for a request', async () => {
    expect(await requestText()).toEqual('ready');
  });

  it('opens a connection although the process was busy for longer than the timeout', async () => {
    const text = requestText();
    const endMs = performance.now() + 2 * TIMEOUT_MS;
    while (performance.now() < endMs);
    expect(await text).toEqual('ready');
  });

  it('rejects a request to a port on which nothing listens', async () => {
    const { port } = server.address() as AddressInfo;
    await new Promise((resolve) => {
      server.close(resolve);
    });
    const refused = request(`http://127.0.0.1:${port}/`, { dispatcher: agent });
    await expect(refused).toBeRejectedWith(/ECONNREFUSED/);
  });
});
