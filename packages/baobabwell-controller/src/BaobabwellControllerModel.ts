import type { ListedWorker, MaintenanceWave, WaveState } from '@baobabwell/fleet';
import type { JsonValue } from '@baobabwell/platform';

/** Limits set by the platform, in ms. */
export type FleetBounds = {
  /** Longest lease that a host grants. */
  readonly maxHostLeaseMs: number;
  /** Shortest delay between orders of successive owners for the same machine. */
  readonly machineOrderDelayMs: number;
  readonly maintenanceMs: number;
  /** Longest time after the acknowledgement of a cancellation for which tasks of the job may start. */
  readonly cancellationMs: number;
  /** Time after the end of a job for which callers may ask for its state. */
  readonly endedJobMs: number;
  /** Time after a host is listed as draining from which no run may start there. */
  readonly drainMs: number;
  /**
   * Longest time after the acknowledgement of an evacuation for which tasks may start in its data centre;
   * `null` where the platform sets none.
   */
  readonly evacuationMs: number | null;
  /** Factor by which a task takes longer on another rack than its data. */
  readonly farFactor: number;
};

/** Tables in which the platform describes the fleet, and the encoding of their rows. */
export type FleetCodec = {
  readonly workersTable: string;
  readonly operatorTable: string;
  readonly statusTable: string;
  readonly decodeWorker: (id: string, value: JsonValue) => ListedWorker | null;
  /** Returns the zone that the row with a key of the operator's table evacuates, or `null`. */
  readonly decodeEvacuatedZone: (key: string) => string | null;
  readonly decodeWave: (key: string, value: JsonValue) => MaintenanceWave | null;
  readonly getWaveStatusKey: (wave: number) => string;
  readonly encodeWaveStatus: (state: WaveState) => JsonValue;
};
