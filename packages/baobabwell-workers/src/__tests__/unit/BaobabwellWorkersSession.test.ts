import type { LeaseGrant, TaskOutcome, WorkerError } from '../../index';
import type { Result } from '@baobabwell/utils';

import { expect } from 'earl';

import { EmulatedTime } from '@baobabwell/emulator';
import { createError } from '@baobabwell/utils';

import { WorkerClient, WorkerSession } from '../../index';

/** Time since the last lease request after which a pool requests a slot again. */
const STALE_LEASE_REQUEST_MS = 40;

const DURATION_MS = 2_000;

class RefusingClient extends WorkerClient {
  renewalCount = 0;

  override async renew(): Promise<Result<LeaseGrant, WorkerError>> {
    this.renewalCount += 1;
    return createError({ kind: 'unreachable', cause: 'refused' });
  }

  override async run(): Promise<TaskOutcome> {
    return { kind: 'not-sent', cause: 'refused' };
  }

  override async stop(): Promise<void> {
    // This worker runs no tasks.
  }

  override replaceConnections(): void {
    // This client has no connections.
  }

  override async close(): Promise<void> {
    // This client has no connections to close.
  }
}

describe('a worker session', () => {
  it('limits the renewal rate to the rate of slot requests when a worker refuses at once', async () => {
    const time = new EmulatedTime();
    const client = new RefusingClient();
    const session: WorkerSession = new WorkerSession({
      host: 'oven-1',
      holder: 'entry-1',
      client,
      clock: time,
      getMaxSlots: () => 3,
      getConnections: () => 2,
      comparison: { getOthersFailureFraction: () => 0, canSpare: () => true },
      isCurrent: () => client.renewalCount < DURATION_MS,
      onChange: () => {
        if (
          session.getRequestedSlots() === 0 &&
          session.getLeaseRequestAge() > STALE_LEASE_REQUEST_MS
        ) {
          session.requestSlot();
        }
      },
      onEvent: () => undefined,
    });
    const ended = session.run();
    await time.advance(DURATION_MS);
    session.stop();
    await time.settle(ended, DURATION_MS);
    expect(client.renewalCount <= DURATION_MS / STALE_LEASE_REQUEST_MS).toEqual(true);
  });
});
