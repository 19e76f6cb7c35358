export type { ActiveCall, CallAnswer, CallRequest, CallResult } from './BaobabwellCalls';
export type { Authorization } from './BaobabwellCallsAuthorization';
export type { CallObserver } from './BaobabwellCallsHttp';
export type { CallServiceDependencies } from './BaobabwellCallsService';

export { CallReason } from './BaobabwellCalls';
export {
  buildDigest,
  checkAuthorization,
  findTeamOfSecret,
  OPEN_TEAM,
} from './BaobabwellCallsAuthorization';
export { buildCallServer, parseCall } from './BaobabwellCallsHttp';
export { sendWithoutAnswer } from './BaobabwellCallsHttpErrors';
export { STATUS_BY_REASON } from './BaobabwellCallsHttpStatus';
export { createNotRun } from './BaobabwellCallsResults';
export { CallService } from './BaobabwellCallsService';
