import type { Clock } from '@baobabwell/utils';

import { ORDER_WINDOW_MS } from './BaobabwellCarriersConstants';

const SECOND_MS = 1_000;

/** Counts recent orders and their hosts. */
export class OrderCount {
  readonly #clock: Clock;

  #startedAtMs: number;

  #orderCount = 0;

  #formerRate = 0;

  #hosts = new Set<string>();

  #formerHosts = new Set<string>();

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#startedAtMs = clock.getNow();
  }

  record(hostId: string): void {
    const passedMs = this.#clock.getNow() - this.#startedAtMs;
    if (passedMs >= ORDER_WINDOW_MS) {
      this.#formerRate = this.#computeRate(passedMs);
      this.#formerHosts = this.#hosts;
      this.#startedAtMs += passedMs;
      this.#orderCount = 0;
      this.#hosts = new Set();
    }
    this.#orderCount += 1;
    this.#hosts.add(hostId);
  }

  /** Returns the orders per second. */
  getRate(): number {
    return Math.max(this.#formerRate, this.#computeRate(ORDER_WINDOW_MS));
  }

  /** Returns the number of hosts with orders. */
  getHostCount(): number {
    return Math.max(this.#hosts.size, this.#formerHosts.size);
  }

  #computeRate(passedMs: number): number {
    return (this.#orderCount * SECOND_MS) / passedMs;
  }
}
