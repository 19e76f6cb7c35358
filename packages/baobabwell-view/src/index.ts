export type { LogFault, ViewFollowerParts } from './BaobabwellViewFollower';
export type { HeartbeatRow, HeartbeatRowsParts } from './BaobabwellViewHeartbeats';
export type {
  LogError,
  LogPage,
  LogPosition,
  SettledTransaction,
  TransactionFate,
} from './BaobabwellViewLog';
export type { ViewPeerParts, ViewPeerRouter } from './BaobabwellViewPeers';
export type {
  Acknowledgement,
  ChangeProgress,
  MemberLife,
  ViewQuorumParts,
} from './BaobabwellViewQuorum';
export type { ViewSnapshot } from './BaobabwellViewSnapshots';
export type { ViewListener, ViewUpdate } from './BaobabwellViewStore';
export type {
  ChangeDraft,
  ChangeError,
  CommitListener,
  ViewWriterParts,
} from './BaobabwellViewWriter';

export {
  ACCEPTANCE_WAIT_MS,
  FRESHNESS_BOUND_MS,
  HEARTBEAT_ROW_INTERVAL_MS,
  HISTORY_CHANGES,
  SNAPSHOT_CHANGES,
  UNREACHABLE_AFTER_MS,
} from './BaobabwellViewConstants';
export { ViewFollower } from './BaobabwellViewFollower';
export { FreshnessTracker } from './BaobabwellViewFreshness';
export { HeartbeatRows } from './BaobabwellViewHeartbeats';
export { ViewHistory } from './BaobabwellViewHistory';
export { LOG_START, ViewLog } from './BaobabwellViewLog';
export { buildViewRouter, ViewPeerTask } from './BaobabwellViewPeers';
export { ChangeStage, getMajority, ViewQuorum } from './BaobabwellViewQuorum';
export { ViewSnapshots } from './BaobabwellViewSnapshots';
export { ViewStore } from './BaobabwellViewStore';
export { ViewWriter } from './BaobabwellViewWriter';
