import type { Clock } from '@baobabwell/utils';

/** One end of an emulated connection. */
export type Endpoint = {
  readonly name: string;
  readonly clock: Clock;
};

/** Outcome of one exchange. */
export type ExchangeResult<T> =
  | { readonly kind: 'answered'; readonly value: T }
  /** The endpoint is closed; the request was not delivered. */
  | { readonly kind: 'refused' }
  /** No answer arrived; the request may have been delivered. */
  | { readonly kind: 'timeout' };

/** One request and its answer between two endpoints. */
export type Exchange<T> = {
  readonly from: Endpoint;
  readonly to: Endpoint;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
  readonly handle: () => Promise<T>;
};

/** Exchanges and bytes counted in one direction between two endpoints. */
export type Traffic = {
  readonly from: string;
  readonly to: string;
  readonly exchanges: number;
  /** Bytes of requests and answers; only exchanges between peers are counted. */
  readonly bytes: number;
};

type CountedTraffic = { -readonly [Name in keyof Traffic]: Traffic[Name] };

const DEFAULT_LATENCY_MS = 1;

/**
 * Carries requests between endpoints, with latency, one-way partitions, duplicate delivery and
 * closed endpoints.
 */
export class EmulatedNetwork {
  readonly #partitions = new Set<string>();

  readonly #traffic = new Map<string, CountedTraffic>();

  readonly #closedEndpoints = new Set<string>();

  readonly #duplicateDelaysMs = new Map<string, number>();

  #latencyMs = DEFAULT_LATENCY_MS;

  /** Sets the one-way latency of all exchanges, in whole milliseconds. */
  setLatency(latencyMs: number): void {
    this.#latencyMs = latencyMs;
  }

  /** Drops all messages from `from` to `to`. */
  partition(from: string, to: string): void {
    this.#partitions.add(`${from} ${to}`);
  }

  /** Delivers messages from `from` to `to` again. */
  heal(from: string, to: string): void {
    this.#partitions.delete(`${from} ${to}`);
  }

  /** Partitions both directions between every pair of the two groups. */
  partitionBetween(left: readonly string[], right: readonly string[]): void {
    left.forEach((a) =>
      right.forEach((b) => {
        this.partition(a, b);
        this.partition(b, a);
      }),
    );
  }

  /** Delivers every request from `from` to `to` a second time, after `delayMs`. */
  duplicate(from: string, to: string, delayMs: number): void {
    this.#duplicateDelaysMs.set(`${from} ${to}`, delayMs);
  }

  /** Ends all partitions and duplicate deliveries. */
  healAll(): void {
    this.#partitions.clear();
    this.#duplicateDelaysMs.clear();
  }

  /** Refuses connections to an endpoint. */
  close(name: string): void {
    this.#closedEndpoints.add(name);
  }

  /** Accepts connections to an endpoint again. */
  open(name: string): void {
    this.#closedEndpoints.delete(name);
  }

  /** Adds bytes of a delivered message to the traffic counts. */
  recordBytes(from: string, to: string, bytes: number): void {
    this.#getTraffic(from, to).bytes += bytes;
  }

  /** Lists the traffic between each pair of endpoints since the start. */
  listTraffic(): readonly Traffic[] {
    return [...this.#traffic.values()];
  }

  /**
   * Sends a request and waits for the answer on the sender's clock.
   *
   * Rejects with the error of `handle`.
   */
  async send<T>(exchange: Exchange<T>): Promise<ExchangeResult<T>> {
    const { from, to, timeoutMs, signal, handle } = exchange;
    this.#getTraffic(from.name, to.name).exchanges += 1;
    return new Promise((resolve, reject) => {
      const finish = (result: ExchangeResult<T>): void => {
        cancelTimeout();
        signal?.removeEventListener('abort', onAbort);
        resolve(result);
      };
      const onAbort = (): void => finish({ kind: 'timeout' });
      const cancelTimeout = Number.isFinite(timeoutMs)
        ? from.clock.startTimer(timeoutMs, onAbort)
        : (): void => {};
      signal?.addEventListener('abort', onAbort, { once: true });
      const answer = (run: () => void): void => {
        from.clock.startTimer(this.#latencyMs, () => {
          if (!this.#isPartitioned(to, from)) {
            run();
          }
        });
      };
      to.clock.startTimer(this.#latencyMs, () => {
        if (this.#isPartitioned(from, to)) {
          return;
        }
        if (this.#closedEndpoints.has(to.name)) {
          answer(() => finish({ kind: 'refused' }));
          return;
        }
        const duplicateDelayMs = this.#duplicateDelaysMs.get(`${from.name} ${to.name}`);
        if (duplicateDelayMs !== undefined) {
          to.clock.startTimer(duplicateDelayMs, () => {
            handle().catch(() => {});
          });
        }
        handle().then(
          (value) => answer(() => finish({ kind: 'answered', value })),
          (error: Error) => answer(() => reject(error)),
        );
      });
    });
  }

  #getTraffic(from: string, to: string): CountedTraffic {
    const name = `${from} ${to}`;
    const existing = this.#traffic.get(name) ?? { from, to, exchanges: 0, bytes: 0 };
    this.#traffic.set(name, existing);
    return existing;
  }

  #isPartitioned(from: Endpoint, to: Endpoint): boolean {
    return this.#partitions.has(`${from.name} ${to.name}`);
  }
}
