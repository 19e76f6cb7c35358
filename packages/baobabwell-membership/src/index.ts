export type { FencedLife, FenceTrackerParts } from './BaobabwellMembershipFences';
export type { MembershipMonitorParts } from './BaobabwellMembershipMonitor';
export type { MembershipRefusal, MembershipServiceParts } from './BaobabwellMembershipService';

export { isMember } from './BaobabwellMembershipChanges';
export { FenceMemberCommand } from './BaobabwellMembershipCommands';
export { FENCE_LEASE_MS } from './BaobabwellMembershipConstants';
export { FenceTracker, LifeState } from './BaobabwellMembershipFences';
export { MemberIdentity } from './BaobabwellMembershipIdentity';
export { MembershipMonitor } from './BaobabwellMembershipMonitor';
export { FenceEvidence, MembershipService } from './BaobabwellMembershipService';
