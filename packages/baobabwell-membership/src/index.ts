export type { FencedIncarnation, FenceTrackerDependencies } from './BaobabwellMembershipFences';
export type { MembershipMonitorDependencies } from './BaobabwellMembershipMonitor';
export type {
  MembershipRefusal,
  MembershipServiceDependencies,
} from './BaobabwellMembershipService';

export { isMember } from './BaobabwellMembershipChanges';
export { FenceMemberCommand } from './BaobabwellMembershipCommands';
export { FENCE_LEASE_MS } from './BaobabwellMembershipConstants';
export { FenceTracker, IncarnationState } from './BaobabwellMembershipFences';
export { MemberIdentity } from './BaobabwellMembershipIdentity';
export { MembershipMonitor } from './BaobabwellMembershipMonitor';
export { FenceEvidence, MembershipService } from './BaobabwellMembershipService';
