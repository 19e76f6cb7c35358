import type { FleetBounds, FleetCodec } from './BaobabwellControllerModel';
import type { PeerReports } from './BaobabwellControllerStoreOutage';
import type { FleetConfiguration } from '@baobabwell/fleet';
import type { MemoryLimits } from '@baobabwell/jobs';
import type { Logger } from '@baobabwell/logging';
import type { OwnerMetrics } from '@baobabwell/metrics';
import type { Ownership } from '@baobabwell/ownership';
import type {
  CloudControl,
  HostOrders,
  PlacementAdvisor,
  WatchableTableService,
} from '@baobabwell/platform';
import type { ProcessorTime } from '@baobabwell/processor-time';
import type { Clock } from '@baobabwell/utils';

/** Dependencies that the process provides to a term. */
export type TermOptions = {
  readonly holder: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: OwnerMetrics;
  readonly processorTime: ProcessorTime;
  readonly bounds: FleetBounds;
  readonly codec: FleetCodec;
  readonly store: WatchableTableService;
  readonly orders: HostOrders;
  readonly cloud: CloudControl | null;
  readonly advisor: PlacementAdvisor | null;
  readonly ownership: Ownership;
  readonly peerReports: PeerReports;
  readonly getConfiguration: () => FleetConfiguration | null;
  /** Returns what the smallest process may keep that may become the owner. */
  readonly getMemoryLimits: () => MemoryLimits;
};
