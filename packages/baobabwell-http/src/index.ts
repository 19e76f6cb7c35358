export { REQUEST_HEADER_TIMEOUTS, registerRawBodyParser } from './BaobabwellHttp';
