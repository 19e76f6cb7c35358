export type { LogFault, ViewFollowerDependencies } from './BaobabwellViewFollower';
export type { HeartbeatRow, HeartbeatRowsDependencies } from './BaobabwellViewHeartbeats';
export type {
  LogError,
  LogPage,
  LogPosition,
  ResolvedTransaction,
  TransactionOutcome,
} from './BaobabwellViewLog';
export type { ViewPeerDependencies, ViewPeerRouter } from './BaobabwellViewPeers';
export type {
  Acknowledgement,
  ChangeProgress,
  MemberIncarnation,
  ViewQuorumDependencies,
} from './BaobabwellViewQuorum';
export type { ViewSnapshot } from './BaobabwellViewSnapshots';
export type { ViewListener, ViewUpdate } from './BaobabwellViewStore';
export type {
  ChangeDraft,
  ChangeError,
  CommitListener,
  ViewWriterDependencies,
} from './BaobabwellViewWriter';

export {
  ACCEPTANCE_TIMEOUT_MS,
  FRESHNESS_BOUND_MS,
  HEARTBEAT_ROW_INTERVAL_MS,
  MAX_HISTORY_CHANGES,
  SNAPSHOT_INTERVAL_CHANGES,
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
