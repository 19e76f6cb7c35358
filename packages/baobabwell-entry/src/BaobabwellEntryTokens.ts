import type { CallRecorder } from './BaobabwellEntryCallRecorder';
import type { Readiness } from './BaobabwellEntryReadiness';
import type { WorkerDirectory } from './BaobabwellEntryWorkerDirectory';
import type { CallService } from '@baobabwell/calls';
import type { DeferredGate, DeferredService, WorkIndex } from '@baobabwell/deferred';
import type { GroupCommit, IdempotencyRegistry } from '@baobabwell/idempotency';
import type { Logger } from '@baobabwell/logging';
import type {
  HostControl,
  HostHealthMonitor,
  MaintenanceController,
} from '@baobabwell/maintenance';
import type {
  FenceTracker,
  MemberIdentity,
  MembershipMonitor,
  MembershipService,
} from '@baobabwell/membership';
import type { EntryMetrics } from '@baobabwell/metrics';
import type { Member, ViewChange } from '@baobabwell/model';
import type { ChangeJournal, CommandRecords, OperatorService } from '@baobabwell/operations';
import type { PeerConnector } from '@baobabwell/peers';
import type { FenceClock, PermitPeer } from '@baobabwell/permits';
import type { HostList, ObjectStore, TableService } from '@baobabwell/platform';
import type { PermitPool, SlotShares } from '@baobabwell/scheduling';
import type { EntrySettings, Settings } from '@baobabwell/settings';
import type {
  FreshnessTracker,
  HeartbeatRows,
  MemberIncarnation,
  ViewFollower,
  ViewHistory,
  ViewLog,
  ViewQuorum,
  ViewSnapshots,
  ViewStore,
  ViewWriter,
} from '@baobabwell/view';
import type { WorkerClientFactory } from '@baobabwell/workers';
import type { AnyTRPCRouter } from '@trpc/server';
import type { FastifyInstance } from 'fastify';

import { createEvent, createServiceToken } from '@baobabwell/kernel';

export const SETTINGS = createServiceToken<Settings>('settings');
export const ENTRY_SETTINGS = createServiceToken<EntrySettings>('entrySettings');
export const IDENTITY = createServiceToken<MemberIdentity>('identity');
export const LOGGER = createServiceToken<Logger>('logger');
export const CALL_RECORDER = createServiceToken<CallRecorder>('callRecorder');
export const METRICS = createServiceToken<EntryMetrics>('metrics');
export const TABLE_SERVICE = createServiceToken<TableService>('tableService');
export const OBJECT_STORE = createServiceToken<ObjectStore>('objectStore');
export const HOST_LIST = createServiceToken<HostList>('hostList');
export const VIEW_STORE = createServiceToken<ViewStore>('viewStore');
export const VIEW_LOG = createServiceToken<ViewLog>('viewLog');
export const VIEW_HISTORY = createServiceToken<ViewHistory>('viewHistory');
export const VIEW_FOLLOWER = createServiceToken<ViewFollower>('viewFollower');
export const VIEW_QUORUM = createServiceToken<ViewQuorum>('viewQuorum');
export const VIEW_SNAPSHOTS = createServiceToken<ViewSnapshots>('viewSnapshots');
export const HEARTBEAT_ROWS = createServiceToken<HeartbeatRows>('heartbeatRows');
export const VIEW_WRITER = createServiceToken<ViewWriter>('viewWriter');
export const FRESHNESS = createServiceToken<FreshnessTracker>('freshness');
export const MEMBERSHIP_SERVICE = createServiceToken<MembershipService>('membershipService');
export const MEMBERSHIP_MONITOR = createServiceToken<MembershipMonitor>('membershipMonitor');
export const FENCE_TRACKER = createServiceToken<FenceTracker>('fenceTracker');
export const PEER_CONNECTOR = createServiceToken<PeerConnector>('peerConnector');
export const PEER_ROUTERS = createServiceToken<AnyTRPCRouter[]>('peerRouters');
export const PEER_SERVERS = createServiceToken<FastifyInstance[]>('peerServers');
export const WORKER_CLIENT_FACTORY = createServiceToken<WorkerClientFactory>('workerClientFactory');
export const WORKER_DIRECTORY = createServiceToken<WorkerDirectory>('workerDirectory');
export const FENCE_CLOCK = createServiceToken<FenceClock>('fenceClock');
export const PERMIT_PEERS = createServiceToken<(member: Member) => PermitPeer>('permitPeers');
export const SLOT_SHARES = createServiceToken<SlotShares>('slotShares');
export const PERMIT_POOL = createServiceToken<PermitPool>('permitPool');
export const READINESS = createServiceToken<Readiness>('readiness');
export const CLAIM_COMMITS = createServiceToken<GroupCommit>('claimCommits');
export const IDEMPOTENCY = createServiceToken<IdempotencyRegistry>('idempotency');
export const CALL_SERVICE = createServiceToken<CallService>('callService');
export const HOST_CONTROL = createServiceToken<HostControl>('hostControl');
export const HOST_HEALTH = createServiceToken<HostHealthMonitor>('hostHealth');
export const MAINTENANCE_CONTROLLER =
  createServiceToken<MaintenanceController>('maintenanceController');
export const CHANGE_JOURNAL = createServiceToken<ChangeJournal>('changeJournal');
export const COMMAND_RECORDS = createServiceToken<CommandRecords>('commandRecords');
export const OPERATOR_SERVER = createServiceToken<FastifyInstance>('operatorServer');
export const WORK_INDEX = createServiceToken<WorkIndex>('workIndex');
export const DEFERRED_SERVICE = createServiceToken<DeferredService>('deferredService');
export const DEFERRED_GATE = createServiceToken<DeferredGate>('deferredGate');
export const OPERATOR_SERVICE = createServiceToken<OperatorService>('operatorService');

/** Dispatched after this entry committed a change to the view log. */
export const CHANGE_COMMITTED = createEvent<ViewChange>('change-committed');

/**
 * Dispatched when an incarnation of an entry is fenced: it starts no work once the fence is in
 * force.
 */
export const MEMBER_FENCED = createEvent<MemberIncarnation>('member-fenced');

/** Dispatched when no work of a fenced incarnation still runs: others may use its holdings. */
export const MEMBER_RELEASED = createEvent<MemberIncarnation>('member-released');

/** Dispatched when this process was fenced and starts a new incarnation, without holdings. */
export const INCARNATION_STARTED = createEvent<MemberIncarnation>('life-started');
