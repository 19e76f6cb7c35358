export type { ViewFollowerParts } from './BaobabwellViewFollower';
export type { LogError, LogPage, LogPosition, TransactionFate } from './BaobabwellViewLog';
export type { ViewPeerParts, ViewPeerRouter } from './BaobabwellViewPeers';
export type { ViewListener, ViewUpdate } from './BaobabwellViewStore';
export type { ChangeDraft, ChangeError, CommitListener } from './BaobabwellViewWriter';

export { FRESHNESS_BOUND_MS, HISTORY_CHANGES } from './BaobabwellViewConstants';
export { ViewFollower } from './BaobabwellViewFollower';
export { FreshnessTracker } from './BaobabwellViewFreshness';
export { ViewHistory } from './BaobabwellViewHistory';
export { LOG_START, ViewLog } from './BaobabwellViewLog';
export { buildViewRouter, ViewPeerTask } from './BaobabwellViewPeers';
export { ViewStore } from './BaobabwellViewStore';
export { ViewWriter } from './BaobabwellViewWriter';
