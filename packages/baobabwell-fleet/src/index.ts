export type { HostSize, PoolLoad } from './BaobabwellFleetDemand';
export type {
  FleetConfiguration,
  ListedWorker,
  MaintenanceWave,
  OrganisationSettings,
  PoolSettings,
  QueueSettings,
} from './BaobabwellFleetModel';
export type { MachineMove, MovableMachine, MoveDecision, PoolNeed } from './BaobabwellFleetMoves';
export type { TurnSign } from './BaobabwellFleetRhythm';
export type { PoolRest } from './BaobabwellFleetStandby';
export type { DueMachine, WaveDecision, WaveProgress } from './BaobabwellFleetWaves';

export {
  getBaseHosts,
  getNeededHosts,
  getWantedCpu,
  getWantedHosts,
} from './BaobabwellFleetDemand';
export { WaveState } from './BaobabwellFleetModel';
export { decideMoves } from './BaobabwellFleetMoves';
export { RecentPeaks } from './BaobabwellFleetPeaks';
export { TurnRhythm } from './BaobabwellFleetRhythm';
export { divideStandby } from './BaobabwellFleetStandby';
export { decideUpkeeps } from './BaobabwellFleetWaves';
