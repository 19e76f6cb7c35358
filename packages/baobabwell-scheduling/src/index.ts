export type { QueueEstimate } from './BaobabwellSchedulingAdmission';
export type { AllocationClaim } from './BaobabwellSchedulingAllocation';
export type {
  Permit,
  PermitUsage,
  StaticPermitPoolDependencies,
} from './BaobabwellSchedulingPermits';
export type { PoolSchedulerDependencies } from './BaobabwellSchedulingPool';
export type { TeamActivity } from './BaobabwellSchedulingShares';
export type { SlotGrant, SlotRefusal, SlotRequest } from './BaobabwellSchedulingSlots';

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
