/** Metrics of the orders that other processes carry to hosts. Label values come from enums. */
import type { Registry } from 'prom-client';

import { Counter } from 'prom-client';

/** Counts orders by their way to the hosts, and the messages to the processes that carry them. */
export class CarriageMetrics {
  readonly orders: Counter<'route'>;

  readonly exchanges: Counter<'answer'>;

  readonly lostCarriers: Counter<'reason'>;

  constructor(registry: Registry) {
    const registers = [registry];
    this.orders = new Counter({
      name: 'baobabwell_host_orders_total',
      help: 'Starts, stops and hold calls of the owner, by route: direct or carried.',
      labelNames: ['route'],
      registers,
    });
    this.exchanges = new Counter({
      name: 'baobabwell_carrier_exchanges_total',
      help: 'Messages of the owner to carriers, by answer.',
      labelNames: ['answer'],
      registers,
    });
    this.lostCarriers = new Counter({
      name: 'baobabwell_lost_carriers_total',
      help: 'Carriers that got no more orders for a while, by reason.',
      labelNames: ['reason'],
      registers,
    });
  }
}
