import type { LeaseGrant, TaskOutcome, WorkerError } from '../../index';
import type { Result } from '@baobabwell/utils';

import { expect } from 'earl';

import { EmulatedTime } from '@baobabwell/emulator';
import { createError } from '@baobabwell/utils';

import { WorkerClient, WorkerSession } from '../../index';

/** Age of a grant after which a pool asks for a slot again, in ms. */
const STALE_MS = 40;

const SPAN_MS = 2_000;

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
    // Nothing runs there.
  }

  override replaceConnections(): void {
    // There are none.
  }

  override async close(): Promise<void> {
    // Nothing is open.
  }
}

describe('the session with a worker', () => {
  it('asks a worker that refuses at once no more often than a pool wants to know', async () => {
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
      isCurrent: () => client.renewalCount < SPAN_MS,
      onChange: () => {
        if (session.getRequestedSlots() === 0 && session.getGrantAge() > STALE_MS) {
          session.requestSlot();
        }
      },
      onEvent: () => undefined,
    });
    const ended = session.run();
    await time.advance(SPAN_MS);
    session.stop();
    await time.settle(ended, SPAN_MS);
    expect(client.renewalCount <= SPAN_MS / STALE_MS).toEqual(true);
  });
});
