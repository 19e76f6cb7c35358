export type { BurstRecord, DemandSample } from './BaobabwellFleetBurstPrediction';
export type { HostSize, PoolLoad } from './BaobabwellFleetDemand';
export type { PoolIdleTime } from './BaobabwellFleetHeadroom';
export type {
  FleetConfiguration,
  ListedWorker,
  MaintenanceWave,
  OrganisationSettings,
  PoolSettings,
} from './BaobabwellFleetModel';
export type { MachineMove, MovableMachine, MoveDecision, PoolDemand } from './BaobabwellFleetMoves';
export type { AcceptedQueue } from './BaobabwellFleetQueues';
export type { DueMachine, WaveDecision, WaveProgress } from './BaobabwellFleetWaves';
export type { QueueSettings } from '@baobabwell/jobs';

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
export {
  findQueueByName,
  findQueueOfJob,
  getQueuesByName,
  hasSameAddress,
} from './BaobabwellFleetQueues';
export { decideMaintenance } from './BaobabwellFleetWaves';
