export type { BurstRecord, DemandSample } from './BaobabwellFleetBurstPrediction';
export type { HostSize, PoolLoad } from './BaobabwellFleetDemand';
export type { PoolIdleTime } from './BaobabwellFleetHeadroom';
export type {
  FleetConfiguration,
  ListedWorker,
  MaintenanceWave,
  OrganisationSettings,
  PoolSettings,
  QueueSettings,
} from './BaobabwellFleetModel';
export type { MachineMove, MovableMachine, MoveDecision, PoolDemand } from './BaobabwellFleetMoves';
export type { DueMachine, WaveDecision, WaveProgress } from './BaobabwellFleetWaves';

export { BurstPredictor } from './BaobabwellFleetBurstPrediction';
export {
  getBaseHosts,
  getDesiredCpu,
  getDesiredHosts,
  getRequiredHosts,
} from './BaobabwellFleetDemand';
export { divideHeadroom, isBetweenBursts } from './BaobabwellFleetHeadroom';
export { WaveState } from './BaobabwellFleetModel';
export { decideMoves } from './BaobabwellFleetMoves';
export { RecentPeaks } from './BaobabwellFleetPeaks';
export { findQueueByName, getQueuesByName } from './BaobabwellFleetQueues';
export { decideMaintenance } from './BaobabwellFleetWaves';
