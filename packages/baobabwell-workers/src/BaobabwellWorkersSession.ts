import type { WorkerClient } from './BaobabwellWorkersClient';
import type { Clock } from '@baobabwell/utils';

import { checkInvariant } from '@baobabwell/utils';

import {
  LEASE_LAPSE_SLACK_MS,
  RENEW_INTERVAL_MS,
  RENEW_TIMEOUT_MS,
  START_TTL_MS,
  STOP_RETRY_MS,
  TASK_TTL_MS,
} from './BaobabwellWorkersConstants';

/** What a session works with. */
export type WorkerSessionParts = {
  readonly host: string;
  readonly holder: string;
  readonly client: WorkerClient;
  readonly clock: Clock;
  /** Most slots that this entry may hold on the worker. */
  readonly maxSlots: number;
  /** Whether this entry may hold leases now. */
  readonly isCurrent: () => boolean;
  /** Called when slots may have become usable. */
  readonly onChange: () => void;
};

/** This entry's lease on one worker: how many slots it holds and how many are in use. */
export class WorkerSession {
  readonly client: WorkerClient;

  readonly host: string;

  readonly holder: string;

  readonly #parts: WorkerSessionParts;

  readonly #stopped = new AbortController();

  #wake = new AbortController();

  #held = 0;

  #inUse = 0;

  #peakInUse = 0;

  #requested = 0;

  #free = 0;

  #isReachable = true;

  #startableUntil = Number.NEGATIVE_INFINITY;

  #renewSentAt = Number.NEGATIVE_INFINITY;

  #unsettled = 0;

  constructor(parts: WorkerSessionParts) {
    this.#parts = parts;
    this.client = parts.client;
    this.host = parts.host;
    this.holder = parts.holder;
  }

  /** Slots in which a task can be started now. */
  getUsableSlots(): number {
    return this.#startableUntil < this.#parts.clock.getNow()
      ? 0
      : Math.max(0, this.#held - this.#inUse);
  }

  /** Slots with a task of this entry. */
  getSlotsInUse(): number {
    return this.#inUse;
  }

  /** Slots that may still be granted, as far as is known. */
  getFreeSlots(): number {
    const roomBelowCap = this.#parts.maxSlots - this.#held - this.#requested;
    return this.#isReachable ? Math.max(0, Math.min(this.#free, roomBelowCap)) : 0;
  }

  /** Slots asked for and not yet answered. */
  getRequestedSlots(): number {
    return this.#requested;
  }

  /** Asks for one more slot with the next renewal, which happens at once. */
  requestSlot(): void {
    this.#requested += 1;
    this.#wake.abort();
  }

  /** Takes one usable slot. */
  acquireSlot(): void {
    checkInvariant(this.getUsableSlots() > 0, `no usable slot on ${this.host}`);
    this.#inUse += 1;
    this.#peakInUse = Math.max(this.#peakInUse, this.#inUse);
  }

  /** Gives a slot back. */
  releaseSlot(): void {
    checkInvariant(this.#inUse > 0, `slot of ${this.host} released twice`);
    this.#inUse -= 1;
    this.#parts.onChange();
  }

  /**
   * Waits until a task whose answer was lost has certainly ended: the worker confirms that it
   * stopped it, or the lease has lapsed.
   */
  async waitForEnd(taskId: string): Promise<void> {
    this.#unsettled += 1;
    while (!(await this.client.stop(taskId)) && !this.#isLapsed()) {
      await this.#parts.clock.wait(STOP_RETRY_MS);
    }
    this.#unsettled -= 1;
    this.#wake.abort();
  }

  /** Renews the lease until stopped. */
  async run(): Promise<void> {
    const { clock } = this.#parts;
    while (!this.#stopped.signal.aborted) {
      if (this.#parts.isCurrent() && !this.#isLapsing()) {
        await this.#renew();
      }
      if (!this.#wake.signal.aborted) {
        await clock.wait(RENEW_INTERVAL_MS, this.#wake.signal);
      }
      this.#wake = new AbortController();
    }
    await this.client.close();
  }

  /** Ends {@link run} and closes the connections. */
  stop(): void {
    this.#stopped.abort();
    this.#wake.abort();
  }

  /** A worker that does not answer loses its lease, so that the end of lost tasks is certain. */
  #isLapsing(): boolean {
    return this.#unsettled > 0 && !this.#isReachable;
  }

  #isLapsed(): boolean {
    const lapsedAt = this.#renewSentAt + RENEW_TIMEOUT_MS + TASK_TTL_MS + LEASE_LAPSE_SLACK_MS;
    return this.#parts.clock.getNow() > lapsedAt;
  }

  async #renew(): Promise<void> {
    const { client, clock, holder, maxSlots, onChange } = this.#parts;
    const asked = this.#requested;
    const wanted = Math.min(maxSlots, Math.max(this.#peakInUse, this.#inUse) + asked);
    this.#peakInUse = this.#inUse;
    const sentAt = clock.getNow();
    this.#renewSentAt = sentAt;
    const grant = await client.renew({ holder, slots: wanted });
    this.#requested = Math.max(0, this.#requested - asked);
    this.#isReachable = grant.ok;
    if (grant.ok) {
      this.#held = grant.value.slots;
      this.#free = grant.value.free;
      this.#startableUntil = sentAt + START_TTL_MS;
    }
    onChange();
  }
}
