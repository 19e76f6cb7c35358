export type { HoldingReport, Loan, PermitReply, PermitReport } from './BaobabwellPermits';
export type { PermitKeeperDependencies } from './BaobabwellPermitsKeeper';
export type { PermitPeerRouter, PermitPeerService } from './BaobabwellPermitsPeers';
export type { KeeperPermitPoolDependencies } from './BaobabwellPermitsPool';

export { FenceClock, MembershipFenceClock } from './BaobabwellPermitsFence';
export { PermitKeeper } from './BaobabwellPermitsKeeper';
export { getMemberKey, Membership } from './BaobabwellPermitsMembership';
export { buildPermitRouter, PermitPeer, RemotePermitPeer } from './BaobabwellPermitsPeers';
export { KeeperPermitPool } from './BaobabwellPermitsPool';
