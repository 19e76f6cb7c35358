import type { EmulatedProcessor } from './BaobabwellJobEmulatorProcessor';
import type { ExchangeReply, OrderExchange } from '@baobabwell/carriers';
import type { ProcessClock } from '@baobabwell/emulator';
import type { Logger } from '@baobabwell/logging';
import type { CarriageMetrics } from '@baobabwell/metrics';
import type { Ownership } from '@baobabwell/ownership';
import type { HostOrders } from '@baobabwell/platform';

import {
  CarriedHostOrders,
  CarriedKind,
  CarrierLink,
  LoadSource,
  OrderCarrier,
} from '@baobabwell/carriers';
import { OWNER_LEASE_MS } from '@baobabwell/ownership';

/** One-way latency between two processes, in ms. */
const LATENCY_MS = 2;

/** A process that carries the orders of others. */
export type EmulatedCarrier = {
  readonly name: string;
  readonly clock: ProcessClock;
  readonly processor: EmulatedProcessor;
  readonly carrier: OrderCarrier;
};

/** The load of an emulated processor. */
class EmulatedLoad extends LoadSource {
  readonly #processor: EmulatedProcessor;

  constructor(processor: EmulatedProcessor) {
    super();
    this.#processor = processor;
  }

  override getActiveMs(): number {
    return this.#processor.getSpentMs();
  }
}

/** Messages of one process to the others; those to a dead process, and from it, are never answered. */
class EmulatedCarrierLink extends CarrierLink {
  readonly #owner: Pick<EmulatedCarrier, 'clock' | 'processor'>;

  readonly #findCarrier: (name: string) => EmulatedCarrier | null;

  constructor(
    owner: Pick<EmulatedCarrier, 'clock' | 'processor'>,
    findCarrier: (name: string) => EmulatedCarrier | null,
  ) {
    super();
    this.#owner = owner;
    this.#findCarrier = findCarrier;
  }

  override async exchange(name: string, message: OrderExchange): Promise<ExchangeReply | null> {
    const { clock, processor } = this.#owner;
    const starts = message.orders.filter(({ kind }) => kind === CarriedKind.Start);
    processor.spendOnExchange(message.orders.length, starts.length);
    const peer = this.#findCarrier(name);
    return new Promise((resolve) => {
      peer?.clock.startTimer(LATENCY_MS, () => {
        peer.processor.spendOnRequest();
        void peer.carrier.exchange(message).then((reply) => {
          // Sent by the peer's clock, received by the owner's.
          peer.clock.startTimer(LATENCY_MS, () => clock.startTimer(0, () => resolve(reply)));
        });
      });
    });
  }
}

/** Creates the orders of one process, and what carries those of others in it. */
export function createEmulatedCarriage(options: {
  readonly name: string;
  readonly incarnation: string;
  readonly clock: ProcessClock;
  readonly processor: EmulatedProcessor;
  readonly logger: Logger;
  readonly metrics: CarriageMetrics;
  readonly ownership: Ownership;
  readonly direct: HostOrders;
  /** All processes, by name. */
  readonly processes: ReadonlyMap<string, EmulatedCarrier>;
  /** Names of the processes that do not reach their peers. */
  readonly isolated: ReadonlySet<string>;
}): { readonly orders: CarriedHostOrders; readonly carrier: OrderCarrier } {
  const { name, incarnation, clock, processor, ownership, direct, processes, isolated } = options;
  const findCarrier = (peer: string): EmulatedCarrier | null =>
    isolated.has(name) || isolated.has(peer) ? null : (processes.get(peer) ?? null);
  const orders = new CarriedHostOrders({
    clock,
    logger: options.logger,
    metrics: options.metrics,
    direct,
    link: new EmulatedCarrierLink({ clock, processor }, findCarrier),
    load: new EmulatedLoad(processor),
    startResponseTimer: (timeoutMs, handleTimeout) =>
      clock.startTimer(timeoutMs, () => clock.startTimer(0, handleTimeout)),
    listPeers: () => [...processes.keys()].filter((peer) => peer !== name),
    getLeaseLeftMs: () => OWNER_LEASE_MS - ownership.getLeaseAgeMs(),
  });
  return { orders, carrier: new OrderCarrier({ clock, orders: direct, incarnation }) };
}
