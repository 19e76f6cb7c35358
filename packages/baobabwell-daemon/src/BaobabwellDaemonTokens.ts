import type { ConfigurationWatcher } from './BaobabwellDaemonConfiguration';
import type { EventLoopDelay } from './BaobabwellDaemonEventLoop';
import type { MemberDirectory } from './BaobabwellDaemonMembers';
import type { PeerClients, PeerOwnerClient } from './BaobabwellDaemonPeers';
import type { DaemonAdapters, DaemonSettings } from './BaobabwellDaemonSettings';
import type { DaemonState } from './BaobabwellDaemonState';
import type { Controller } from '@baobabwell/controller';
import type { Logger } from '@baobabwell/logging';
import type { DaemonMetrics } from '@baobabwell/metrics';
import type { Ownership } from '@baobabwell/ownership';
import type { PeerConnector } from '@baobabwell/peers';
import type { ProcessorTime } from '@baobabwell/processor-time';

import { createServiceToken } from '@baobabwell/kernel';

export const SETTINGS = createServiceToken<DaemonSettings>('settings');
export const ADAPTERS = createServiceToken<DaemonAdapters>('adapters');
export const LOGGER = createServiceToken<Logger>('logger');
export const METRICS = createServiceToken<DaemonMetrics>('metrics');
export const PROCESSOR_TIME = createServiceToken<ProcessorTime>('processorTime');
export const STATE = createServiceToken<DaemonState>('state');
export const PEER_CONNECTOR = createServiceToken<PeerConnector>('peerConnector');
export const OWNERSHIP = createServiceToken<Ownership>('ownership');
export const CONTROLLER = createServiceToken<Controller>('controller');
/** Each settles once a process that stops renews no leases on hosts any more. */
export const HOST_LEASES = createServiceToken<Promise<void>[]>('hostLeases');
export const OWNER_CLIENT = createServiceToken<PeerOwnerClient>('ownerClient');
export const CONFIGURATION = createServiceToken<ConfigurationWatcher>('configuration');
export const EVENT_LOOP_DELAY = createServiceToken<EventLoopDelay>('eventLoopDelay');
export const PEERS = createServiceToken<PeerClients>('peers');
export const MEMBERS = createServiceToken<MemberDirectory>('members');
