import type { EmulatedHost } from './BaobabwellJobEmulatorHost';
import type { EmulatedProcessor } from './BaobabwellJobEmulatorProcessor';
import type {
  HoldOrder,
  HostIncarnation,
  HostReport,
  OrderError,
  CpuLimitOrder,
  StartOrder,
  StopOrder,
} from '@baobabwell/platform';
import type { Clock, Random, Result } from '@baobabwell/utils';

import { HostOrders, OrderRefusal } from '@baobabwell/platform';
import { createError, createOk } from '@baobabwell/utils';

/** One-way latency between a process and a host, in ms. */
const LATENCY_MS = 1;

/** Time after which an order counts as unanswered, in ms. */
const TIMEOUT_MS = 350;

/** Range of the delay after which an unanswered order is carried out, in ms. */
const MIN_DELAY_MS = 500;
const MAX_DELAY_MS = 6_000;

/** Orders whose answers can be late. */
export enum OrderKind {
  Start = 'start',
  Stop = 'stop',
  Hold = 'hold',
}

/** Injected faults between the processes and the hosts. */
export type HostFaults = {
  /** Fraction of the orders that get no answer and are carried out late. */
  delayedFraction: number;
  /** Hosts that no process can reach, although they keep running. */
  readonly partitionedHosts: Set<string>;
  /** Hosts that refuse connections, although they keep running. */
  readonly refusingHosts: Set<string>;
  /** Partitioned routes between one process and one host, formatted by {@link formatRoute}. */
  readonly partitionedRoutes: Set<string>;
  /**
   * Time by which answers of a host are late, in ms, by {@link formatAnswer}. An answer that was sent is
   * delivered even when the host's incarnation has ended by then.
   */
  readonly lateAnswersMs: Map<string, number>;
  /** Orders that do not reach a host, by {@link formatAnswer}; other orders to it do. */
  readonly lostOrders: Set<string>;
  /**
   * Delay of orders that get no answer, in ms, by {@link formatAnswer}; each is carried out by the
   * incarnation of the host at that time.
   */
  readonly lateOrdersMs: Map<string, number>;
};

/** Creates the faults of a fleet without any. */
export function createHostFaults(): HostFaults {
  return {
    delayedFraction: 0,
    partitionedHosts: new Set(),
    refusingHosts: new Set(),
    partitionedRoutes: new Set(),
    lateAnswersMs: new Map(),
    lostOrders: new Set(),
    lateOrdersMs: new Map(),
  };
}

/** Formats the route from a process to a host. */
export function formatRoute(process: string, hostId: string): string {
  return `${process} ${hostId}`;
}

/** Formats the answers of a host to one kind of order. */
export function formatAnswer(kind: OrderKind, hostId: string): string {
  return `${kind} ${hostId}`;
}

/** Sends the orders of one process to the emulated hosts. */
export class EmulatedHostOrders extends HostOrders {
  readonly #process: string;

  readonly #clock: Clock;

  readonly #processor: EmulatedProcessor;

  readonly #sharedClock: Clock;

  readonly #random: Random;

  readonly #faults: HostFaults;

  readonly #findHost: (id: string) => EmulatedHost | null;

  constructor(options: {
    readonly process: string;
    readonly clock: Clock;
    readonly processor: EmulatedProcessor;
    readonly sharedClock: Clock;
    readonly random: Random;
    readonly faults: HostFaults;
    readonly findHost: (id: string) => EmulatedHost | null;
  }) {
    super();
    this.#process = options.process;
    this.#clock = options.clock;
    this.#processor = options.processor;
    this.#sharedClock = options.sharedClock;
    this.#random = options.random;
    this.#faults = options.faults;
    this.#findHost = options.findHost;
  }

  override async start(
    host: HostIncarnation,
    order: StartOrder,
  ): Promise<Result<number, OrderError>> {
    if (!order.isAllowed()) {
      return createError({ kind: OrderRefusal.NotSent, clockMs: null, cause: 'not allowed' });
    }
    this.#processor.spendOnStart();
    return this.#send(host.id, OrderKind.Start, async (target, lateMs) =>
      target.start(order, lateMs),
    );
  }

  override async stop(
    host: HostIncarnation,
    order: StopOrder,
  ): Promise<Result<number, OrderError>> {
    return this.#send(host.id, OrderKind.Stop, async (target) => target.stop(order));
  }

  override async setCpuLimit(
    _host: HostIncarnation,
    _order: CpuLimitOrder,
  ): Promise<Result<number, OrderError>> {
    return createOk(0);
  }

  override async hold(
    host: HostIncarnation,
    order: HoldOrder,
  ): Promise<Result<HostReport, OrderError>> {
    let holder: EmulatedHost | null = null;
    const reply = await this.#send(host.id, OrderKind.Hold, async (target) => {
      holder = target;
      return target.hold(order);
    });
    if (reply.ok) {
      (holder as EmulatedHost | null)?.recordDelivery(reply.value);
    }
    return reply;
  }

  async #send<Value>(
    id: string,
    kind: OrderKind,
    run: (host: EmulatedHost, lateMs: number) => Promise<Result<Value, OrderError>>,
  ): Promise<Result<Value, OrderError>> {
    await this.#clock.wait(LATENCY_MS);
    const host = this.#findHost(id);
    if (host?.isReplaced === true && !this.#isPartitioned(id)) {
      const cause = 'another incarnation';
      return createError({ kind: OrderRefusal.OtherIncarnation, clockMs: null, cause });
    }
    const isRefusing = host?.hasCrashed === true || this.#faults.refusingHosts.has(id);
    if (isRefusing && !this.#isPartitioned(id)) {
      const cause = 'connection refused';
      return createError({ kind: OrderRefusal.ConnectionRefused, clockMs: null, cause });
    }
    const isLost = this.#faults.lostOrders.has(formatAnswer(kind, id));
    if (host === null || !host.isAlive || this.#isPartitioned(id) || isLost) {
      return this.#waitForTimeout();
    }
    if (this.#random.getFraction() < this.#faults.delayedFraction) {
      const delayMs = MIN_DELAY_MS + this.#random.getInteger(MAX_DELAY_MS - MIN_DELAY_MS);
      this.#sharedClock.startTimer(delayMs, () => {
        // A delayed order is dropped when the host's incarnation ends; see docs/QUESTIONS.md.
        if (host.isAlive && !this.#isPartitioned(id)) {
          void run(host, delayMs);
        }
      });
      return this.#waitForTimeout();
    }
    const delayMs = this.#faults.lateOrdersMs.get(formatAnswer(kind, id));
    if (delayMs !== undefined) {
      this.#sharedClock.startTimer(delayMs, () => {
        const incarnation = this.#findHost(id);
        if (incarnation?.isAlive && !this.#isPartitioned(id)) {
          void run(incarnation, delayMs);
        }
      });
      return this.#waitForTimeout();
    }
    const reply = await run(host, 0);
    if (this.#faults.refusingHosts.has(id)) {
      const cause = 'connection closed';
      return createError({ kind: OrderRefusal.Unanswered, clockMs: null, cause });
    }
    const lateMs = this.#faults.lateAnswersMs.get(formatAnswer(kind, id)) ?? 0;
    if (lateMs > 0 && host.isAlive) {
      await this.#clock.wait(lateMs);
      return this.#isPartitioned(id) ? this.#waitForTimeout() : reply;
    }
    await this.#clock.wait(LATENCY_MS);
    return this.#isPartitioned(id) || !host.isAlive ? this.#waitForTimeout() : reply;
  }

  #isPartitioned(id: string): boolean {
    const { partitionedHosts, partitionedRoutes } = this.#faults;
    return partitionedHosts.has(id) || partitionedRoutes.has(formatRoute(this.#process, id));
  }

  async #waitForTimeout(): Promise<Result<never, OrderError>> {
    await this.#clock.wait(TIMEOUT_MS);
    return createError({ kind: OrderRefusal.Unanswered, clockMs: null, cause: 'no answer' });
  }
}
