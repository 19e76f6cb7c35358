export { HEAD_LIMITS, registerRawBodies } from './BaobabwellHttp';
