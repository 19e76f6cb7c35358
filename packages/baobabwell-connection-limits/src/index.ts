export type { BodyRead } from './BaobabwellConnectionLimitsBody';
export type {
  ClientLimitObserver,
  ClientLimits,
  ProcessResources,
} from './BaobabwellConnectionLimitsModel';
export type { Release } from './BaobabwellConnectionLimitsTable';

export { BodyEnd, findConnection, readBody } from './BaobabwellConnectionLimitsBody';
export { ClientConnection } from './BaobabwellConnectionLimitsConnection';
export { ClientLimit, computeClientLimits } from './BaobabwellConnectionLimitsModel';
export { answerClientError, limitConnections } from './BaobabwellConnectionLimitsServer';
export { ConnectionTable } from './BaobabwellConnectionLimitsTable';
