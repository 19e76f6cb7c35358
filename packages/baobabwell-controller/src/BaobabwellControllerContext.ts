import type { Host } from './BaobabwellControllerHost';
import type {
  FleetConfiguration,
  ListedWorker,
  MaintenanceWave,
  WaveState,
} from '@baobabwell/fleet';
import type { JobRegistry, Run } from '@baobabwell/jobs';
import type { Logger } from '@baobabwell/logging';
import type { OwnerMetrics } from '@baobabwell/metrics';
import type { Ownership, Term } from '@baobabwell/ownership';
import type {
  CloudControl,
  HostOrders,
  JsonValue,
  PlacementAdvisor,
  WatchableTableService,
} from '@baobabwell/platform';
import type { Clock } from '@baobabwell/utils';

/** Bounds that the platform sets, in ms. */
export type FleetBounds = {
  /** Longest lease that a host grants. */
  readonly maxHostLeaseMs: number;
  /** Owners that follow each other order the same machine only after this pause. */
  readonly machineOrderPauseMs: number;
  readonly upkeepMs: number;
};

/** How the fleet is described in the platform's tables. */
export type FleetCodec = {
  readonly workersTable: string;
  readonly operatorTable: string;
  readonly statusTable: string;
  readonly decodeWorker: (id: string, value: JsonValue) => ListedWorker | null;
  readonly decodeWave: (key: string, value: JsonValue) => MaintenanceWave | null;
  readonly getWaveStatusKey: (wave: number) => string;
  readonly encodeWaveStatus: (state: WaveState) => JsonValue;
};

/** What a term needs of the process around it. */
export type TermOptions = {
  readonly holder: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: OwnerMetrics;
  readonly bounds: FleetBounds;
  readonly codec: FleetCodec;
  readonly store: WatchableTableService;
  readonly orders: HostOrders;
  readonly cloud: CloudControl | null;
  readonly advisor: PlacementAdvisor | null;
  readonly ownership: Ownership;
  readonly getConfiguration: () => FleetConfiguration | null;
};

/** What the parts of an owner's term share. */
export type TermContext = TermOptions & {
  readonly term: Term;
  readonly ledger: JobRegistry;
  readonly hosts: Map<string, Host>;
  /** Waves that the operator asked for, by number. */
  readonly waves: Map<number, MaintenanceWave>;
  /** Aborted when the term ends. */
  readonly signal: AbortSignal;
  /** Room, work or a host changed: placements are due. */
  readonly requestDispatch: () => void;
  /** Progress has to be stored. */
  readonly requestCommit: () => void;
  /** Orders a run to stop. */
  readonly stopRun: (run: Run, reason: string) => void;
};
