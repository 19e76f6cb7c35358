import type { Clock } from '@baobabwell/utils';

/** One end of an emulated connection. */
export type Endpoint = {
  readonly name: string;
  readonly clock: Clock;
};

/** What became of one exchange. */
export type ExchangeResult<T> =
  | { readonly kind: 'answered'; readonly value: T }
  /** Nothing listens there; nothing was delivered. */
  | { readonly kind: 'refused' }
  /** No answer came; the request may have been delivered. */
  | { readonly kind: 'timeout' };

/** One request and its answer between two endpoints. */
export type Exchange<T> = {
  readonly from: Endpoint;
  readonly to: Endpoint;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
  readonly handle: () => Promise<T>;
};

/** What was carried from one end to another. */
export type Traffic = {
  readonly from: string;
  readonly to: string;
  readonly exchanges: number;
  /** Bytes of requests and answers, where they are counted. */
  readonly bytes: number;
};

type CountedTraffic = { -readonly [Name in keyof Traffic]: Traffic[Name] };

const DEFAULT_LATENCY_MS = 1;

/** Carries requests between endpoints, with latency, cuts in one direction, and closed ends. */
export class EmulatedNetwork {
  readonly #cuts = new Set<string>();

  readonly #traffic = new Map<string, CountedTraffic>();

  readonly #closed = new Set<string>();

  readonly #repeated = new Map<string, number>();

  #latencyMs = DEFAULT_LATENCY_MS;

  /** Sets the latency of one direction, in whole milliseconds. */
  applyLatency(latencyMs: number): void {
    this.#latencyMs = latencyMs;
  }

  /** Loses everything that `from` sends to `to`. */
  cut(from: string, to: string): void {
    this.#cuts.add(`${from} ${to}`);
  }

  /** Carries again what `from` sends to `to`. */
  restore(from: string, to: string): void {
    this.#cuts.delete(`${from} ${to}`);
  }

  /** Cuts both directions between every pair of the two groups. */
  cutBetween(left: readonly string[], right: readonly string[]): void {
    left.forEach((a) =>
      right.forEach((b) => {
        this.cut(a, b);
        this.cut(b, a);
      }),
    );
  }

  /** Delivers everything that `from` sends to `to` a second time, after `delayMs`. */
  repeat(from: string, to: string, delayMs: number): void {
    this.#repeated.set(`${from} ${to}`, delayMs);
  }

  /** Ends all cuts and repetitions. */
  restoreAll(): void {
    this.#cuts.clear();
    this.#repeated.clear();
  }

  /** Refuses connections to a name. */
  close(name: string): void {
    this.#closed.add(name);
  }

  /** Accepts connections to a name again. */
  open(name: string): void {
    this.#closed.delete(name);
  }

  /** Counts bytes of a message that was carried. */
  recordBytes(from: string, to: string, bytes: number): void {
    this.#getTraffic(from, to).bytes += bytes;
  }

  /** Lists what was carried between each two ends since the start. */
  listTraffic(): readonly Traffic[] {
    return [...this.#traffic.values()];
  }

  /** Sends a request and waits for the answer by the sender's clock. Rejects as `handle` does. */
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
          if (!this.#isCut(to, from)) {
            run();
          }
        });
      };
      to.clock.startTimer(this.#latencyMs, () => {
        if (this.#isCut(from, to)) {
          return;
        }
        if (this.#closed.has(to.name)) {
          answer(() => finish({ kind: 'refused' }));
          return;
        }
        const repeatMs = this.#repeated.get(`${from.name} ${to.name}`);
        if (repeatMs !== undefined) {
          to.clock.startTimer(repeatMs, () => {
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
    const known = this.#traffic.get(name) ?? { from, to, exchanges: 0, bytes: 0 };
    this.#traffic.set(name, known);
    return known;
  }

  #isCut(from: Endpoint, to: Endpoint): boolean {
    return this.#cuts.has(`${from.name} ${to.name}`);
  }
}
