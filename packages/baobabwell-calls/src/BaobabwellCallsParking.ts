import type { Clock } from '@baobabwell/utils';

import { createHash } from 'node:crypto';

import {
  MAX_TRACKED_FAILURES,
  MIN_PARKING_HOSTS,
  PARKING_DURATION_MS,
} from './BaobabwellCallsConstants';

/** Identifies work by its queue and content, so that repeated calls count as the same work. */
export type WorkIdentity = {
  readonly queue: string;
  readonly body: Uint8Array;
};

type FailedWork = {
  /** Hosts on which the work failed, each with a callback that withdraws the failure there. */
  readonly hosts: Map<string, () => void>;
  parkedUntil: number | null;
};

function buildWorkKey({ queue, body }: WorkIdentity): string {
  return createHash('sha256').update(queue).update('\0').update(body).digest('base64');
}

/**
 * Tracks work that failed on several workers. Work that failed on {@link MIN_PARKING_HOSTS} of
 * them is parked: it is refused for a while, and its failures no longer count against the workers.
 */
export class WorkParking {
  readonly #clock: Clock;

  readonly #failed = new Map<string, FailedWork>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Returns the time for which the work is still refused, or `null` when it is not parked. */
  getRemainingMs(work: WorkIdentity): number | null {
    if (this.#failed.size === 0) {
      return null;
    }
    const key = buildWorkKey(work);
    const parkedUntil = this.#failed.get(key)?.parkedUntil ?? null;
    if (parkedUntil === null) {
      return null;
    }
    const remaining = parkedUntil - this.#clock.getNow();
    if (remaining <= 0) {
      this.#failed.delete(key);
      return null;
    }
    return remaining;
  }

  /**
   * Records that the work failed on a host; `withdraw` removes the failure from the host's health.
   */
  recordFailure(work: WorkIdentity, host: string, withdraw: () => void): void {
    const key = buildWorkKey(work);
    const failed = this.#failed.get(key) ?? {
      hosts: new Map<string, () => void>(),
      parkedUntil: null,
    };
    this.#failed.delete(key);
    this.#failed.set(key, failed);
    failed.hosts.set(host, withdraw);
    if (failed.hosts.size >= MIN_PARKING_HOSTS && failed.parkedUntil === null) {
      failed.parkedUntil = this.#clock.getNow() + PARKING_DURATION_MS;
      failed.hosts.forEach((withdrawFailure) => withdrawFailure());
    }
    this.#removeOldest();
  }

  /**
   * Records that the work succeeded, so that its earlier failures are attributed to the workers.
   */
  recordSuccess(work: WorkIdentity): void {
    if (this.#failed.size > 0) {
      this.#failed.delete(buildWorkKey(work));
    }
  }

  #removeOldest(): void {
    if (this.#failed.size > MAX_TRACKED_FAILURES) {
      this.#failed.delete([...this.#failed.keys()][0] as string);
    }
  }
}
