export type {
  GetHostEvidence,
  HostEvidence,
  MaintenanceDecision,
  MaintenanceRefusal,
} from './BaobabwellMaintenance';
export type { HostOutage, PoolBudget } from './BaobabwellMaintenanceBudget';
export type {
  MaintenanceControllerDependencies,
  ReportControllerEvent,
} from './BaobabwellMaintenanceController';
export type { ControlLoopContext, ControlLoopDecision } from './BaobabwellMaintenanceControlLoop';
export type { HostHealthMonitorDependencies } from './BaobabwellMaintenanceHealthMonitor';
export type { HostControlError, HostStatus } from './BaobabwellMaintenanceHostControl';
export type { TakeOutRequest } from './BaobabwellMaintenanceHosts';
export type { ControllerIdentity } from './BaobabwellMaintenanceOwnership';
export type { WaveStep } from './BaobabwellMaintenanceWavePolicy';
export type { WavePlan } from './BaobabwellMaintenanceWaves';

export { NO_EVIDENCE } from './BaobabwellMaintenance';
export {
  checkReboot,
  checkTakeOut,
  findOutageReason,
  getPoolBudget,
  isPlannedOutage,
} from './BaobabwellMaintenanceBudget';
export { MaintenanceController } from './BaobabwellMaintenanceController';
export { MaintenanceControlLoop } from './BaobabwellMaintenanceControlLoop';
export { HostHealthMonitor } from './BaobabwellMaintenanceHealthMonitor';
export { HostControl } from './BaobabwellMaintenanceHostControl';
export {
  buildHostState,
  buildReturn,
  decideReturn,
  decideTakeOut,
  findHost,
} from './BaobabwellMaintenanceHosts';
export { HttpHostControl } from './BaobabwellMaintenanceHttpHostControl';
export { CONTROLLER_ID, isOwner } from './BaobabwellMaintenanceOwnership';
export {
  BudgetWavePolicy,
  OneByOneWavePolicy,
  WavePolicy,
} from './BaobabwellMaintenanceWavePolicy';
export { decideWaveStart, decideWaveState, WaveControlLoop } from './BaobabwellMaintenanceWaves';
