import type { PeerClients } from './BaobabwellDaemonPeers';
import type { ExchangeReply, OrderExchange } from '@baobabwell/carriers';
import type { Kernel } from '@baobabwell/kernel';

import { CarriedHostOrders, CarrierLink, LoadSource, OrderCarrier } from '@baobabwell/carriers';
import { OWNER_LEASE_MS } from '@baobabwell/ownership';
import { startResponseTimer } from '@baobabwell/utils';

import {
  ADAPTERS,
  LOGGER,
  MEMBERS,
  METRICS,
  OWNERSHIP,
  PEERS,
  STATE,
} from './BaobabwellDaemonTokens';

/** Reaches carriers as peers. */
class PeerCarrierLink extends CarrierLink {
  readonly #peers: PeerClients;

  constructor(peers: PeerClients) {
    super();
    this.#peers = peers;
  }

  override async exchange(address: string, message: OrderExchange): Promise<ExchangeReply | null> {
    return this.#peers.request(address, async (client) => client.exchangeOrders.mutate(message), {
      ignoresBackoff: true,
    });
  }
}

/** The load of the event loop of this process. */
class EventLoopLoad extends LoadSource {
  override getActiveMs(): number {
    return performance.eventLoopUtilization().active;
  }
}

/** Creates the orders of the owner, which peers carry while this process is busy. */
export function createCarriedHostOrders(kernel: Kernel): CarriedHostOrders {
  const ownership = kernel.getService(OWNERSHIP);
  const members = kernel.getService(MEMBERS);
  const state = kernel.getService(STATE);
  return new CarriedHostOrders({
    clock: kernel.clock,
    logger: kernel.getService(LOGGER),
    metrics: kernel.getService(METRICS).carriage,
    direct: kernel.getService(ADAPTERS).orders,
    link: new PeerCarrierLink(kernel.getService(PEERS)),
    load: new EventLoopLoad(),
    startResponseTimer,
    listPeers: () => (state.isStopping ? [] : members.listPeerAddresses()),
    getLeaseLeftMs: () => OWNER_LEASE_MS - ownership.getLeaseAgeMs(),
  });
}

/** Creates what carries the orders of an owner in another process. */
export function createOrderCarrier(kernel: Kernel): OrderCarrier {
  return new OrderCarrier({
    clock: kernel.clock,
    orders: kernel.getService(ADAPTERS).orders,
    incarnation: `${kernel.clock.getWallTime()}-${process.pid}`,
  });
}
