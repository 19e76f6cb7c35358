export type { PoolActivity, PoolDivision, SlotTarget, TeamShare } from './BaobabwellShares';
export type { TeamDemand } from './BaobabwellSharesDivision';
export type { ShareExchangeParts } from './BaobabwellSharesExchange';
export type { HandleActivity, SharePeerRouter } from './BaobabwellSharesPeers';
export type { PoolOwnerParts } from './BaobabwellSharesPoolOwner';

export { buildTeamDivision } from './BaobabwellSharesDivision';
export { ShareExchange } from './BaobabwellSharesExchange';
export { buildShareRouter, SharePeer } from './BaobabwellSharesPeers';
export { PoolOwner } from './BaobabwellSharesPoolOwner';
