export { REQUEST_HEADER_TIMEOUTS, registerRawBodyParser } from './BaobabwellHttp';
export { createConnector } from './BaobabwellHttpConnector';
export { HostConnections } from './BaobabwellHttpHostConnections';
export { ProbedConnections } from './BaobabwellHttpProbing';
export { RenewedConnections } from './BaobabwellHttpRenewal';
