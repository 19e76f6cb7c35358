import type { Clock, Random } from '@baobabwell/utils';
import type { Dispatcher } from 'undici';

import { request } from 'undici';

const CHECK_INTERVAL_MS = 200;
const CHECK_TIMEOUT_MS = 500;
const HTTP_OK = 200;

/** Spreads calls over the entries that say they are ready, as the platform's balancer does. */
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

  /** Chooses an entry for the next call; any, when none is ready. */
  getAddress(): string {
    return this.#random.getOneOf(
      this.#readyAddresses.length > 0 ? this.#readyAddresses : this.#addresses,
    );
  }

  /** Takes an entry out that refused a connection, until the next check. */
  remove(address: string): void {
    this.#readyAddresses = this.#readyAddresses.filter((other) => other !== address);
  }

  /** Checks the entries until stopped. */
  async run(): Promise<void> {
    while (!this.#stopController.signal.aborted) {
      const checks = await Promise.all(
        this.#addresses.map(async (address) => this.#isReady(address)),
      );
      this.#readyAddresses = this.#addresses.filter((_, index) => checks[index]);
      await this.#clock.wait(CHECK_INTERVAL_MS, this.#stopController.signal);
    }
  }

  /** Ends {@link run}. */
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
