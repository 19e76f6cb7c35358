import type { QueueSettings, Resources } from '@baobabwell/jobs';

/** A pool of hosts. */
export type PoolSettings = {
  readonly name: string;
  /** The hosts in the pool are switched off and cost nothing. */
  readonly isSpare: boolean;
  /** The hosts of the pool refuse tasks that do not fit. */
  readonly checksRoom: boolean;
};

/** An organisation that shares the fleet. */
export type OrganisationSettings = {
  readonly name: string;
  readonly keys: readonly string[];
  /** Weight by which capacity is shared when the fleet is full, in jobs a second. */
  readonly weight: number;
  /** Resources that its running tasks may use over the whole fleet; 0 in a field means no limit. */
  readonly cap: Resources;
};

/** The configuration that the operator stored last. */
export type FleetConfiguration = {
  readonly version: number;
  readonly queues: readonly QueueSettings[];
  readonly pools: readonly PoolSettings[];
  readonly organisations: readonly OrganisationSettings[];
  readonly maxBodyBytes: number;
};

/** A worker as it registered itself in the store. */
export type ListedWorker = {
  readonly id: string;
  readonly address: string;
  readonly pool: string;
  readonly zone: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  readonly isDraining: boolean;
  /**
   * Minimum time for which a draining worker stays, in ms; `null` if the worker does not report it.
   */
  readonly leavesInMs: number | null;
  /** Time for which the worker still runs tasks more slowly after its start, in ms; 0 if it is warm. */
  readonly coldLeftMs: number;
  /** Start of this incarnation, in ms since 1970; `null` if the worker does not report it. */
  readonly bornMs: number | null;
};

/** A request of the operator for the maintenance of machines. */
export type MaintenanceWave = {
  readonly number: number;
  readonly machines: readonly string[];
  readonly durationMs: number;
  /** Maximum number of machines of the wave that may be down for maintenance at once. */
  readonly maxDown: number;
};

/** State of a wave as it is shown to the operator. */
export enum WaveState {
  Running = 'running',
  Completed = 'completed',
}
