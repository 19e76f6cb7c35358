export type { PoolActivity, PoolDivision, SlotTarget, TeamShare } from './BaobabwellShares';
export type { TeamDemand } from './BaobabwellSharesDivision';
export type { ShareExchangeDependencies } from './BaobabwellSharesExchange';
export type { ActivityHandler, SharePeerRouter } from './BaobabwellSharesPeers';
export type { PoolOwnerDependencies } from './BaobabwellSharesPoolOwner';

export { buildTeamDivision } from './BaobabwellSharesDivision';
export { ShareExchange } from './BaobabwellSharesExchange';
export { buildShareRouter, SharePeer } from './BaobabwellSharesPeers';
export { PoolOwner } from './BaobabwellSharesPoolOwner';
