import type { FleetBounds, FleetCodec } from '@baobabwell/controller';
import type { ListedWorker, MaintenanceWave, WaveState } from '@baobabwell/fleet';

import { DRAIN_MS, EVACUATION_MS, MAX_LEASE_MS } from './BaobabwellJobEmulatorHost';
import { WORKERS_TABLE } from './BaobabwellJobEmulatorWorkers';

export const OPERATOR_TABLE = 'operator';
export const STATUS_TABLE = 'status';

/** Prefix of the operator's rows that evacuate a zone. */
export const EVACUATION_PREFIX = 'evacuate/';

/** Times that the platform of an emulated fleet prescribes. */
export const BOUNDS: FleetBounds = {
  maxHostLeaseMs: MAX_LEASE_MS,
  machineOrderDelayMs: 3_000,
  maintenanceMs: 2_000,
  cancellationMs: 3_000,
  endedJobMs: 120_000,
  drainMs: DRAIN_MS,
  evacuationMs: EVACUATION_MS,
  farFactor: 1,
};

/** The rows that a fleet shares with its platform and its operator. */
export const CODEC: FleetCodec = {
  workersTable: WORKERS_TABLE,
  operatorTable: OPERATOR_TABLE,
  statusTable: STATUS_TABLE,
  decodeWorker: (_id, value) => value as unknown as ListedWorker,
  decodeEvacuatedZone: (key) =>
    key.startsWith(EVACUATION_PREFIX) ? key.slice(EVACUATION_PREFIX.length) : null,
  decodeWave: (_key, value) => value as unknown as MaintenanceWave,
  getWaveStatusKey: (wave) => String(wave),
  encodeWaveStatus: (state: WaveState) => ({ state }),
};
