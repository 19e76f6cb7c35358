import type { Copies } from './BaobabwellControllerCopies';
import type { Evacuations } from './BaobabwellControllerEvacuations';
import type { Handover } from './BaobabwellControllerHandover';
import type { Host } from './BaobabwellControllerHost';
import type { HostMajority } from './BaobabwellControllerHostMajority';
import type { HostObserver } from './BaobabwellControllerHostObserver';
import type { HostSilences } from './BaobabwellControllerHostSilences';
import type { JobRates } from './BaobabwellControllerJobRates';
import type { LeaseLog } from './BaobabwellControllerLeaseLog';
import type { PossibleRuns } from './BaobabwellControllerPossibleRuns';
import type { QueuePools } from './BaobabwellControllerQueuePools';
import type { RunDurations } from './BaobabwellControllerRunDurations';
import type { StartGate } from './BaobabwellControllerStartGate';
import type { TermOptions } from './BaobabwellControllerTermOptions';
import type { DurationEstimator } from '@baobabwell/durations';
import type { MaintenanceWave } from '@baobabwell/fleet';
import type { Job, JobRegistry, Run } from '@baobabwell/jobs';
import type { Term } from '@baobabwell/ownership';

/** State and callbacks shared by the components of an owner's term. */
export type TermContext = TermOptions & {
  readonly term: Term;
  readonly jobRegistry: JobRegistry;
  readonly hosts: Map<string, Host>;
  readonly durations: DurationEstimator;
  readonly runDurations: RunDurations;
  readonly jobRates: JobRates;
  readonly copies: Copies;
  readonly evacuations: Evacuations;
  readonly handover: Handover;
  readonly hostMajority: HostMajority;
  readonly hostObserver: HostObserver;
  readonly hostSilences: HostSilences;
  readonly leaseLog: LeaseLog;
  readonly possibleRuns: PossibleRuns;
  readonly queuePools: QueuePools;
  /** Waves requested by the operator, by number. */
  readonly waves: Map<number, MaintenanceWave>;
  /** Aborted when the term ends. */
  readonly signal: AbortSignal;
  /** Requests a round of placements because capacity, work or a host changed. */
  readonly requestDispatch: () => void;
  /** Requests that changed progress be stored. */
  readonly requestCommit: () => void;
  /** Stores the present progress of a job; never settles if the term ends first. */
  readonly storeProgress: (job: Job) => Promise<void>;
  /** Orders a run to stop. */
  readonly stopRun: (run: Run, reason: string) => void;
  /** Returns the time in ms since all stored jobs and cancellations were known to be applied. */
  readonly getJobsAgeMs: () => number;
  /** Returns the time in ms since the operator's requests were known to be applied. */
  readonly getRequestsAgeMs: () => number;
  readonly startGate: StartGate;
  /** Returns the time in ms since the hosts were known to be as the platform lists them. */
  readonly getWorkersAgeMs: () => number;
};
