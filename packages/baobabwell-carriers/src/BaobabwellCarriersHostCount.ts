import type { Clock } from '@baobabwell/utils';

import { HOST_WINDOW_MS } from './BaobabwellCarriersConstants';

/** Counts the hosts that got orders lately. */
export class HostCount {
  readonly #clock: Clock;

  #startedAtMs: number;

  #hosts = new Set<string>();

  #formerHosts = new Set<string>();

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#startedAtMs = clock.getNow();
  }

  record(hostId: string): void {
    const nowMs = this.#clock.getNow();
    if (nowMs - this.#startedAtMs >= HOST_WINDOW_MS) {
      this.#startedAtMs = nowMs;
      this.#formerHosts = this.#hosts;
      this.#hosts = new Set();
    }
    this.#hosts.add(hostId);
  }

  getCount(): number {
    return Math.max(this.#hosts.size, this.#formerHosts.size);
  }
}
