import type { HostControlError, HostStatus } from './BaobabwellMaintenanceHostControl';
import type { Host } from '@baobabwell/model';
import type { Result } from '@baobabwell/utils';

import { Agent, request } from 'undici';
import { z } from 'zod';

import { createError, createOk } from '@baobabwell/utils';

import { HOST_CONTROL_TIMEOUT_MS } from './BaobabwellMaintenanceConstants';
import { HostControl } from './BaobabwellMaintenanceHostControl';

const HTTP_OK = 200;
const HTTP_CONFLICT = 409;
const IDLE_CONNECTION_MS = 500;

const statusSchema = z.object({
  running: z.number().int().nonnegative(),
  rebootToken: z.number().int().nonnegative(),
});

/**
 * Probes and reboots hosts over HTTP. Idle connections are closed before the next periodic probe,
 * so that it opens a new one: an old connection does not prove that the host accepts connections.
 */
export class HttpHostControl extends HostControl {
  readonly #agent = new Agent({
    connections: 1,
    connect: { timeout: HOST_CONTROL_TIMEOUT_MS },
    keepAliveTimeout: IDLE_CONNECTION_MS,
    keepAliveMaxTimeout: IDLE_CONNECTION_MS,
  });

  override async probe(host: Host): Promise<Result<HostStatus, HostControlError>> {
    const answer = await this.#send('GET', `http://${host.address}/status`);
    if (!answer.ok) {
      return answer;
    }
    const status = statusSchema.safeParse(answer.value.body);
    return answer.value.statusCode === HTTP_OK && status.success
      ? createOk(status.data)
      : createError({ kind: 'unreachable', cause: `status ${answer.value.statusCode}` });
  }

  override async reboot(host: Host, token: number): Promise<Result<null, HostControlError>> {
    const answer = await this.#send('PUT', `http://${host.address}/reboot`, { token });
    if (!answer.ok) {
      return answer;
    }
    if (answer.value.statusCode === HTTP_CONFLICT) {
      return createError({ kind: 'stale-token' });
    }
    return answer.value.statusCode === HTTP_OK
      ? createOk(null)
      : createError({ kind: 'unreachable', cause: `status ${answer.value.statusCode}` });
  }

  override async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #send(
    method: 'GET' | 'PUT',
    url: string,
    payload?: object,
  ): Promise<Result<{ readonly statusCode: number; readonly body: unknown }, HostControlError>> {
    try {
      const { statusCode, body } = await request(url, {
        method,
        headers: { 'content-type': 'application/json' },
        body: payload === undefined ? null : JSON.stringify(payload),
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(HOST_CONTROL_TIMEOUT_MS),
      });
      return createOk({ statusCode, body: await body.json() });
    } catch (error) {
      return createError({ kind: 'unreachable', cause: (error as Error).message });
    }
  }
}
