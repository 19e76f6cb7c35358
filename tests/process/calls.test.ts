import { expect } from 'earl';
import { setTimeout as wait } from 'node:timers/promises';
import { request } from 'undici';

import { LocalDeployment } from '../../scripts/deployment';

const TEST_TIMEOUT_MS = 60_000;
const STORE_DELAY_MS = 1_000;
const START_MS = 700;

type CallReply = { readonly outcome: unknown; readonly reason: unknown; readonly body: string };

describe('calls with an idempotency key over processes', function () {
  this.timeout(TEST_TIMEOUT_MS);

  let deployment: LocalDeployment;

  beforeEach(async () => {
    deployment = new LocalDeployment({ entries: 3, workers: 4, teams: ['schools'] });
    await deployment.start();
  });

  afterEach(async () => deployment.close());

  async function call(entry: number, body: string, timeoutMs = 5_000): Promise<CallReply> {
    const reply = await request(
      `http://${deployment.getCallerAddress(entry)}/v1/queues/enrolments/calls`,
      {
        method: 'POST',
        headers: {
          authorization: `Bearer ${deployment.getTeamSecret('schools')}`,
          'idempotency-key': 'enrolment-1',
          'call-timeout-ms': String(timeoutMs),
        },
        body,
      },
    );
    const { 'call-outcome': outcome, 'call-reason': reason } = reply.headers;
    return { outcome, reason, body: await reply.body.text() };
  }

  it('get the same answer from every entry', async () => {
    const first = await call(0, '{"runMs":50}');
    await wait(STORE_DELAY_MS);
    expect(first.outcome).toEqual('completed');
    expect([await call(1, '{"runMs":50}'), await call(2, '{"runMs":50}')]).toEqual([first, first]);
  });

  it('are refused when the request differs', async () => {
    await call(0, '{"runMs":50}');
    const { outcome, reason } = await call(1, '{"runMs":60}');
    expect({ outcome, reason }).toEqual({ outcome: 'not-run', reason: 'idempotency-key-reused' });
  });

  it('do not run again when their entry is killed', async () => {
    const lost = call(0, '{"runMs":3000}').catch(() => null);
    await wait(START_MS);
    deployment.signalEntry(0, 'SIGKILL');
    expect(await lost).toEqual(null);
    const { outcome, reason } = await call(1, '{"runMs":3000}', STORE_DELAY_MS);
    expect({ outcome, reason }).toEqual({ outcome: 'unknown', reason: 'in-progress' });
  });
});
