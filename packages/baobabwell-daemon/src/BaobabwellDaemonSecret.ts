import type { Logger } from '@baobabwell/logging';
import type { WatchableTableService } from '@baobabwell/platform';
import type { Clock } from '@baobabwell/utils';

import { randomBytes } from 'node:crypto';

const SECRET_TABLE = 'peers';
const SECRET_KEY = 'secret';
const SECRET_BYTES = 24;

/** Delay before the store is read again, in ms. */
const RETRY_DELAY_MS = 200;

/** Reads the secret that all processes share; the first process to find none creates it. */
export async function readPeerSecret(
  store: WatchableTableService,
  clock: Clock,
  logger: Logger,
  signal: AbortSignal,
): Promise<string> {
  while (!signal.aborted) {
    const read = await store.read(SECRET_TABLE, SECRET_KEY);
    if (read.ok && typeof read.value?.value === 'string') {
      return read.value.value;
    }
    if (read.ok) {
      const value = randomBytes(SECRET_BYTES).toString('base64');
      const written = await store.commit({
        conditions: [{ table: SECRET_TABLE, key: SECRET_KEY, version: 0 }],
        writes: [{ table: SECRET_TABLE, key: SECRET_KEY, value }],
      });
      if (written.ok) {
        return value;
      }
    } else {
      logger.recordWarning('peer-secret-not-read', { reason: read.error.kind });
      await clock.wait(RETRY_DELAY_MS, signal);
    }
  }
  return '';
}
