import type { CarrierLoss, StartResponseTimer } from './BaobabwellCarriersChannel';
import type { CarrierLink, LoadSource } from './BaobabwellCarriersModel';
import type { OpenOrder, OrderReply } from './BaobabwellCarriersOrders';
import type { Logger } from '@baobabwell/logging';
import type { CarriageMetrics } from '@baobabwell/metrics';
import type {
  CpuLimitOrder,
  HoldOrder,
  HostIncarnation,
  HostReport,
  OrderError,
  StartOrder,
  StopOrder,
} from '@baobabwell/platform';
import type { Clock, Result } from '@baobabwell/utils';

import { HostOrders } from '@baobabwell/platform';
import { findRendezvousOwner } from '@baobabwell/scheduling';

import { CarrierChannel } from './BaobabwellCarriersChannel';
import {
  CARRIER_BACKOFF_MS,
  CHOICE_INTERVAL_MS,
  MAX_CARRIED_LENGTH,
  MAX_CARRIERS,
  MIN_CARRIED_HOSTS,
  ORDERS_PER_CARRIER,
} from './BaobabwellCarriersConstants';
import { CarriageLoad } from './BaobabwellCarriersLoad';
import { OrderCount } from './BaobabwellCarriersOrderCount';
import { OpenHold, OpenStart, OpenStop } from './BaobabwellCarriersOrders';

/** Key by which the carriers are chosen among the peers. */
const CARRIERS_KEY = 'carriers';

export type CarriedHostOrdersOptions = {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: CarriageMetrics;
  /** Sends orders directly. */
  readonly direct: HostOrders;
  readonly link: CarrierLink;
  readonly load: LoadSource;
  readonly startResponseTimer: StartResponseTimer;
  /** Lists the addresses of the processes that can carry orders; none while this process must not use them. */
  readonly listPeers: () => readonly string[];
  /** Returns the time for which the owner's lease lasts, in ms. */
  readonly getLeaseLeftMs: () => number;
};

/** Chooses some of the peers so that the loss of one changes no other. */
function chooseCarriers(peers: readonly string[], count: number): string[] {
  const carriers: string[] = [];
  while (carriers.length < count) {
    const left = peers.filter((peer) => !carriers.includes(peer));
    const next = findRendezvousOwner(CARRIERS_KEY, left);
    if (next === null) {
      break;
    }
    carriers.push(next);
  }
  return carriers;
}

/** Sends the orders of the owner directly, or has peers carry them while this process is busy. */
export class CarriedHostOrders extends HostOrders {
  readonly #options: CarriedHostOrdersOptions;

  readonly #load: CarriageLoad;

  readonly #orderCount: OrderCount;

  readonly #channels = new Map<string, CarrierChannel>();

  /** Monotonic time until which each lost carrier gets no orders, in ms. */
  readonly #lostUntilMs = new Map<string, number>();

  #epoch = 0;

  #channelCount = 0;

  #carriers: readonly string[] = [];

  #chosenAtMs = -Infinity;

  constructor(options: CarriedHostOrdersOptions) {
    super();
    this.#options = options;
    this.#load = new CarriageLoad(options.clock, options.load);
    this.#orderCount = new OrderCount(options.clock);
  }

  override async start(
    host: HostIncarnation,
    order: StartOrder,
  ): Promise<Result<number, OrderError>> {
    const isLong = order.payload.length + order.checkpoint.length > MAX_CARRIED_LENGTH;
    const channel = isLong ? null : this.#findChannel(host, order.epoch);
    if (channel === null) {
      return this.#options.direct.start(host, order);
    }
    const open = new OpenStart(host, this.#options.direct, order);
    return (await this.#carry(channel, open)) as Result<number, OrderError>;
  }

  override async stop(
    host: HostIncarnation,
    order: StopOrder,
  ): Promise<Result<number, OrderError>> {
    const channel = this.#findChannel(host, order.epoch);
    if (channel === null) {
      return this.#options.direct.stop(host, order);
    }
    const open = new OpenStop(host, this.#options.direct, order);
    return (await this.#carry(channel, open)) as Result<number, OrderError>;
  }

  override async setCpuLimit(
    host: HostIncarnation,
    order: CpuLimitOrder,
  ): Promise<Result<number, OrderError>> {
    return this.#options.direct.setCpuLimit(host, order);
  }

  override async hold(
    host: HostIncarnation,
    order: HoldOrder,
  ): Promise<Result<HostReport, OrderError>> {
    this.#updateCarriers(order.epoch);
    const channel = this.#findChannel(host, order.epoch);
    if (channel === null) {
      return this.#options.direct.hold(host, order);
    }
    const open = new OpenHold(host, this.#options.direct, order, (aborted) =>
      channel.abort(aborted),
    );
    return (await this.#carry(channel, open)) as Result<HostReport, OrderError>;
  }

  async #carry(channel: CarrierChannel, order: OpenOrder): Promise<OrderReply> {
    channel.add(order);
    return order.reply;
  }

  /** Finds the channel that carries the orders for a host; `null` if they are sent directly. */
  #findChannel(host: HostIncarnation, epoch: number): CarrierChannel | null {
    this.#orderCount.record(host.id);
    const address = epoch === this.#epoch ? findRendezvousOwner(host.id, this.#carriers) : null;
    const channel = address === null ? null : (this.#channels.get(address) ?? null);
    const carrying = channel?.canCarry() === true ? channel : null;
    this.#options.metrics.orders.inc({ route: carrying === null ? 'direct' : 'carried' });
    return carrying;
  }

  /** Chooses the carriers by the load of this process, and opens their channels. */
  #updateCarriers(epoch: number): void {
    if (epoch < this.#epoch) {
      return;
    }
    if (epoch > this.#epoch) {
      this.#epoch = epoch;
      this.#channels.forEach((channel) => channel.abandon());
      this.#channels.clear();
    }
    const nowMs = this.#options.clock.getNow();
    if (nowMs - this.#chosenAtMs < CHOICE_INTERVAL_MS) {
      return;
    }
    this.#chosenAtMs = nowMs;
    const carriers = this.#load.isBusy() ? this.#chooseCarriers() : [];
    this.#recordCarriers(carriers);
    this.#carriers = carriers;
    carriers.forEach((address) => {
      const channel = this.#channels.get(address) ?? this.#openChannel(address);
      channel.refresh();
    });
  }

  #chooseCarriers(): readonly string[] {
    const { clock, listPeers } = this.#options;
    const hosts = this.#orderCount.getHostCount();
    // Fewer hosts with calls do not end a carriage: the load does.
    if (hosts < MIN_CARRIED_HOSTS && this.#carriers.length === 0) {
      return [];
    }
    const count = Math.min(
      MAX_CARRIERS,
      Math.max(1, Math.round(this.#orderCount.getRate() / ORDERS_PER_CARRIER)),
    );
    const nowMs = clock.getNow();
    const present = listPeers().filter(
      (address) => (this.#lostUntilMs.get(address) ?? -Infinity) <= nowMs,
    );
    return chooseCarriers(present, count);
  }

  #recordCarriers(carriers: readonly string[]): void {
    const { logger } = this.#options;
    if (carriers.length > 0 && this.#carriers.length === 0) {
      const hosts = this.#orderCount.getHostCount();
      logger.recordInfo('carriage-started', { carriers: carriers.length, hosts });
    } else if (carriers.length === 0 && this.#carriers.length > 0) {
      logger.recordInfo('carriage-stopped', { epoch: this.#epoch });
    }
  }

  #openChannel(address: string): CarrierChannel {
    const { clock, link, metrics, startResponseTimer, getLeaseLeftMs } = this.#options;
    this.#channelCount += 1;
    const channel = new CarrierChannel({
      clock,
      epoch: this.#epoch,
      number: this.#channelCount,
      send: async (message) => link.exchange(address, message),
      startResponseTimer,
      getLeaseLeftMs,
      recordExchange: (answer) => metrics.exchanges.inc({ answer }),
      handleLoss: (loss) => this.#recordLoss(address, channel, loss),
    });
    this.#channels.set(address, channel);
    return channel;
  }

  #recordLoss(address: string, channel: CarrierChannel, loss: CarrierLoss): void {
    const { clock, logger, metrics } = this.#options;
    logger.recordWarning('carrier-lost', { carrier: address, reason: loss });
    metrics.lostCarriers.inc({ reason: loss });
    if (this.#channels.get(address) === channel) {
      this.#channels.delete(address);
      this.#lostUntilMs.set(address, clock.getNow() + CARRIER_BACKOFF_MS);
    }
  }
}
