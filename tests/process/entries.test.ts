import { expect } from 'earl';
import { setTimeout as wait } from 'node:timers/promises';
import { request } from 'undici';

import { LocalDeployment } from '../../scripts/deployment';

const TEST_TIMEOUT_MS = 60_000;
const ENTRIES = 3;
const SETTLE_MS = 1_000;
const PAUSE_MS = 4_000;
const HTTP_UNAUTHORIZED = 401;
const HTTP_UNAVAILABLE = 503;

async function call(deployment: LocalDeployment, entry: number): Promise<number> {
  const { statusCode, body } = await request(
    `http://${deployment.getCallerAddress(entry)}/v1/queues/enrolments/calls`,
    {
      method: 'POST',
      headers: { authorization: `Bearer ${deployment.getTeamSecret('schools')}` },
      body: '{}',
    },
  );
  await body.dump();
  return statusCode;
}

describe('entry processes', function () {
  this.timeout(TEST_TIMEOUT_MS);

  let deployment: LocalDeployment;

  beforeEach(async () => {
    deployment = new LocalDeployment({ entries: ENTRIES, workers: 4, teams: ['schools'] });
    await deployment.start();
  });

  afterEach(async () => deployment.close());

  it('are all restarted under load without a failed call', async () => {
    const load = deployment.runLoad({ team: 'schools', rate: 80, duration: '14s', seed: 1 });
    const exitCodes: (number | null)[] = [];
    await wait(SETTLE_MS);
    for (let entry = 0; entry < ENTRIES; entry += 1) {
      exitCodes.push(await deployment.stopEntry(entry));
      await deployment.startEntry(entry);
      await wait(SETTLE_MS);
    }
    const { calls, completed } = await load;
    expect(exitCodes).toEqual([0, 0, 0]);
    expect(completed).toEqual(calls);
  });

  it('refuse a key that was withdrawn while they were paused', async () => {
    deployment.signalEntry(2, 'SIGSTOP');
    await deployment.operate('command', 'withdraw key key-schools reason "leaked"');
    await wait(PAUSE_MS);
    deployment.signalEntry(2, 'SIGCONT');
    const status = await call(deployment, 2);
    expect([HTTP_UNAUTHORIZED, HTTP_UNAVAILABLE]).toInclude(status);
  });

  it('keep serving calls when one of them is killed', async () => {
    const load = deployment.runLoad({ team: 'schools', rate: 80, duration: '6s', seed: 2 });
    await wait(SETTLE_MS);
    deployment.signalEntry(0, 'SIGKILL');
    const { calls, completed, wrongAnswer, lost, unknown } = await load;
    const inFlightAtKill = 40;
    expect(wrongAnswer).toEqual(0);
    expect(lost + unknown).toBeLessThan(inFlightAtKill);
    expect(completed).toBeGreaterThan(calls - inFlightAtKill);
  });
});
