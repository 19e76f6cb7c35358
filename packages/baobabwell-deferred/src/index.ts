export type { StoredBody, VersionedWork, Work, WorkResult } from './BaobabwellDeferred';
export type { Acceptance, WorkAcceptorDependencies } from './BaobabwellDeferredAcceptor';
export type { DeferredGateDependencies, GateReply } from './BaobabwellDeferredGate';
export type { FindTeam } from './BaobabwellDeferredHttp';
export type {
  AttemptResult,
  RunnableQueue,
  WorkRunnerDependencies,
} from './BaobabwellDeferredRunner';
export type {
  AcceptReply,
  DeferredServiceDependencies,
  LookupReply,
  WorkRequest,
} from './BaobabwellDeferredService';
export type { WorkSweeperDependencies } from './BaobabwellDeferredSweeper';

export { WorkReason, WorkState } from './BaobabwellDeferred';
export { WorkAcceptor } from './BaobabwellDeferredAcceptor';
export { BodyStore } from './BaobabwellDeferredBodies';
export { STOP_TIMEOUT_MS } from './BaobabwellDeferredConstants';
export { CallExecutor } from './BaobabwellDeferredExecutor';
export { WorkFollower } from './BaobabwellDeferredFollower';
export { DeferredGate } from './BaobabwellDeferredGate';
export { registerDeferredCalls, registerWorkRoutes } from './BaobabwellDeferredHttp';
export { WorkIndex } from './BaobabwellDeferredIndex';
export { OwnerTracker } from './BaobabwellDeferredOwners';
export { WorkExecutor, WorkRunner } from './BaobabwellDeferredRunner';
export { CancelResult, DeferredService } from './BaobabwellDeferredService';
export { WorkStore } from './BaobabwellDeferredStore';
export { WorkSweeper } from './BaobabwellDeferredSweeper';
export { isWindowOpen } from './BaobabwellDeferredWindow';
