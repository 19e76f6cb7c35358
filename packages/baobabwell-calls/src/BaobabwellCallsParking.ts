import type { Clock } from '@baobabwell/utils';

import { createHash } from 'node:crypto';

import { MAX_FAILED_WORK, PARKING_HOSTS, PARKING_MS } from './BaobabwellCallsConstants';

/** A piece of work, the same whenever it is sent again. */
export type WorkIdentity = {
  readonly queue: string;
  readonly body: Uint8Array;
};

type FailedWork = {
  /** The hosts on which it failed, each with what takes the failure back there. */
  readonly hosts: Map<string, () => void>;
  parkedUntil: number | null;
};

function buildName({ queue, body }: WorkIdentity): string {
  return createHash('sha256').update(queue).update('\0').update(body).digest('base64');
}

/**
 * Remembers work that failed on different workers. Work that failed on enough of them is parked:
 * it is refused for a while, and its failures no longer count against the workers.
 */
export class WorkParking {
  readonly #clock: Clock;

  readonly #failed = new Map<string, FailedWork>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Time for which the work is still refused, or `null` when it is not parked. */
  getRemaining(work: WorkIdentity): number | null {
    if (this.#failed.size === 0) {
      return null;
    }
    const name = buildName(work);
    const parkedUntil = this.#failed.get(name)?.parkedUntil ?? null;
    if (parkedUntil === null) {
      return null;
    }
    const remaining = parkedUntil - this.#clock.getNow();
    if (remaining <= 0) {
      this.#failed.delete(name);
      return null;
    }
    return remaining;
  }

  /** Records that the work failed on a host. */
  recordFailure(work: WorkIdentity, host: string, withdraw: () => void): void {
    const name = buildName(work);
    const failed = this.#failed.get(name) ?? {
      hosts: new Map<string, () => void>(),
      parkedUntil: null,
    };
    this.#failed.delete(name);
    this.#failed.set(name, failed);
    failed.hosts.set(host, withdraw);
    if (failed.hosts.size >= PARKING_HOSTS && failed.parkedUntil === null) {
      failed.parkedUntil = this.#clock.getNow() + PARKING_MS;
      failed.hosts.forEach((withdrawFailure) => withdrawFailure());
    }
    this.#removeOldest();
  }

  /** Records that the work was done; its earlier failures were the workers'. */
  recordSuccess(work: WorkIdentity): void {
    if (this.#failed.size > 0) {
      this.#failed.delete(buildName(work));
    }
  }

  #removeOldest(): void {
    if (this.#failed.size > MAX_FAILED_WORK) {
      this.#failed.delete([...this.#failed.keys()][0] as string);
    }
  }
}
