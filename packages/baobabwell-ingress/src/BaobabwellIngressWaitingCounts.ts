import type { OwnerClient } from './BaobabwellIngressOwner';
import type { QueueSettings } from '@baobabwell/fleet';
import type { Clock, Deadline } from '@baobabwell/utils';

/** Age up to which a count is given again without a request to the owner, in ms. */
const FRESH_MS = 500;

/** Age up to which a count is given while the owner does not answer, in ms; callers allow two seconds. */
const MAX_AGE_MS = 1_800;

type KnownCount = { readonly count: number; readonly askedAtMs: number };

/** Counts of the waiting jobs of queues, as the owner gave them. */
export class WaitingCounts {
  readonly #owner: OwnerClient;

  readonly #clock: Clock;

  readonly #known = new Map<string, KnownCount>();

  constructor(owner: OwnerClient, clock: Clock) {
    this.#owner = owner;
    this.#clock = clock;
  }

  /** Counts the waiting jobs of a queue; returns `null` when no count is recent enough. */
  async count(queue: QueueSettings, deadline: Deadline): Promise<number | null> {
    const fresh = this.#find(queue.name, FRESH_MS);
    if (fresh !== null) {
      return fresh;
    }
    const askedAtMs = this.#clock.getNow();
    const count = await this.#owner.countWaiting(queue, deadline);
    if (count === null) {
      return this.#find(queue.name, MAX_AGE_MS);
    }
    this.#known.set(queue.name, { count, askedAtMs });
    return count;
  }

  #find(queue: string, maxAgeMs: number): number | null {
    const known = this.#known.get(queue);
    const isRecent = known !== undefined && this.#clock.getNow() - known.askedAtMs <= maxAgeMs;
    return isRecent ? known.count : null;
  }
}
