import type { Host } from './BaobabwellControllerHost';
import type { HostMajority } from './BaobabwellControllerHostMajority';
import type { StartGate } from './BaobabwellControllerStartGate';
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

/** Limits set by the platform, in ms. */
export type FleetBounds = {
  /** Longest lease that a host grants. */
  readonly maxHostLeaseMs: number;
  /** Shortest delay between orders of successive owners for the same machine. */
  readonly machineOrderDelayMs: number;
  readonly maintenanceMs: number;
  /** Longest time after the acknowledgement of a cancellation for which tasks of the job may start. */
  readonly cancellationMs: number;
  /** Time after a host is listed as draining from which no run may start there. */
  readonly drainMs: number;
};

/** Tables in which the platform describes the fleet, and the encoding of their rows. */
export type FleetCodec = {
  readonly workersTable: string;
  readonly operatorTable: string;
  readonly statusTable: string;
  readonly decodeWorker: (id: string, value: JsonValue) => ListedWorker | null;
  readonly decodeWave: (key: string, value: JsonValue) => MaintenanceWave | null;
  readonly getWaveStatusKey: (wave: number) => string;
  readonly encodeWaveStatus: (state: WaveState) => JsonValue;
};

/** Dependencies that the process provides to a term. */
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

/** State and callbacks shared by the components of an owner's term. */
export type TermContext = TermOptions & {
  readonly term: Term;
  readonly jobRegistry: JobRegistry;
  readonly hosts: Map<string, Host>;
  readonly hostMajority: HostMajority;
  /** Waves requested by the operator, by number. */
  readonly waves: Map<number, MaintenanceWave>;
  /** Aborted when the term ends. */
  readonly signal: AbortSignal;
  /** Requests a round of placements because capacity, work or a host changed. */
  readonly requestDispatch: () => void;
  /** Requests that changed progress be stored. */
  readonly requestCommit: () => void;
  /** Orders a run to stop. */
  readonly stopRun: (run: Run, reason: string) => void;
  /** Returns the time in ms since all stored jobs and cancellations were known to be applied. */
  readonly getJobsAgeMs: () => number;
  readonly startGate: StartGate;
  /** Returns the time in ms since the hosts were known to be as the platform lists them. */
  readonly getWorkersAgeMs: () => number;
};
