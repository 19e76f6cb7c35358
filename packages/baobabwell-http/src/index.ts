export {
  REQUEST_HEADER_TIMEOUTS,
  registerRawBodyParser,
  registerUnreadBodyParser,
} from './BaobabwellHttp';
export { createConnector } from './BaobabwellHttpConnector';
export { HostConnections } from './BaobabwellHttpHostConnections';
export { ProbedConnections } from './BaobabwellHttpProbing';
export { RenewedConnections } from './BaobabwellHttpRenewal';
