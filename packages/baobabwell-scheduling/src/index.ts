export type { QueueOutlook } from './BaobabwellSchedulingAdmission';
export type { Claim } from './BaobabwellSchedulingAllocation';
export type { Permit, PermitUse, StaticDivision } from './BaobabwellSchedulingPermits';
export type { PoolSchedulerParts } from './BaobabwellSchedulingPool';
export type { TeamActivity } from './BaobabwellSchedulingShares';
export type { Turn, TurnRefusal, TurnRequest } from './BaobabwellSchedulingTurns';

export {
  AdmissionControl,
  DeadlineAdmission,
  ExpectedWaitAdmission,
} from './BaobabwellSchedulingAdmission';
export { buildAllocation } from './BaobabwellSchedulingAllocation';
export { FairQueue } from './BaobabwellSchedulingFairQueue';
export { PermitPool, StaticPermitPool } from './BaobabwellSchedulingPermits';
export { PoolScheduler } from './BaobabwellSchedulingPool';
export { findRendezvousOwner } from './BaobabwellSchedulingRendezvous';
export { LocalSlotShares, SlotShares } from './BaobabwellSchedulingShares';
