import type { Clock, Random } from '@baobabwell/utils';
import type { Dispatcher } from 'undici';

import { request } from 'undici';

const CHECK_INTERVAL_MS = 200;
const CHECK_TIMEOUT_MS = 500;
const HTTP_OK = 200;

/** Distributes calls over the entries that report ready, as the platform's load balancer does. */
export class LoadBalancer {
  readonly #addresses: readonly string[];

  readonly #clock: Clock;

  readonly #random: Random;

  readonly #agent: Dispatcher;

  readonly #stopController = new AbortController();

  #readyAddresses: readonly string[];

  constructor(dependencies: {
    readonly addresses: readonly string[];
    readonly clock: Clock;
    readonly random: Random;
    readonly agent: Dispatcher;
  }) {
    this.#addresses = dependencies.addresses;
    this.#clock = dependencies.clock;
    this.#random = dependencies.random;
    this.#agent = dependencies.agent;
    this.#readyAddresses = dependencies.addresses;
  }

  /** Returns a random ready entry for the next call, or any entry when none is ready. */
  getAddress(): string {
    return this.#random.getOneOf(
      this.#readyAddresses.length > 0 ? this.#readyAddresses : this.#addresses,
    );
  }

  /** Removes an entry that refused a connection, until the next check finds it ready. */
  remove(address: string): void {
    this.#readyAddresses = this.#readyAddresses.filter((other) => other !== address);
  }

  /** Checks the readiness of the entries periodically until {@link stop} is called. */
  async run(): Promise<void> {
    while (!this.#stopController.signal.aborted) {
      const checks = await Promise.all(
        this.#addresses.map(async (address) => this.#isReady(address)),
      );
      this.#readyAddresses = this.#addresses.filter((_, index) => checks[index]);
      await this.#clock.wait(CHECK_INTERVAL_MS, this.#stopController.signal);
    }
  }

  /** Stops {@link run}. */
  stop(): void {
    this.#stopController.abort();
  }

  async #isReady(address: string): Promise<boolean> {
    try {
      const { statusCode, body } = await request(`http://${address}/readyz`, {
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(CHECK_TIMEOUT_MS),
      });
      await body.dump();
      return statusCode === HTTP_OK;
    } catch {
      return false;
    }
  }
}
