export type { StartResponseTimer } from './BaobabwellCarriersChannel';
export type { CarriedHostOrdersOptions } from './BaobabwellCarriersHostOrders';
export type {
  CarriedOrder,
  CarriedResult,
  ExchangeReply,
  OrderExchange,
} from './BaobabwellCarriersModel';

export { CarrierLoss } from './BaobabwellCarriersChannel';
export { OrderCarrier } from './BaobabwellCarriersCarrier';
export { CarriedHostOrders } from './BaobabwellCarriersHostOrders';
export { CarriedKind, CarrierLink, ExchangeAnswer, LoadSource } from './BaobabwellCarriersModel';
