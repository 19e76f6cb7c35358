export type {
  GetHostEvidence,
  HostEvidence,
  MaintenanceDecision,
  MaintenanceRefusal,
} from './BaobabwellMaintenance';
export type { OutOfService, PoolBudget } from './BaobabwellMaintenanceBudget';
export type {
  ControllerReport,
  MaintenanceControllerParts,
} from './BaobabwellMaintenanceController';
export type { DutyContext, DutyDecision } from './BaobabwellMaintenanceDuty';
export type { HostHealthParts } from './BaobabwellMaintenanceHealth';
export type { HostControlError, HostStatus } from './BaobabwellMaintenanceHostControl';
export type { TakeOutRequest } from './BaobabwellMaintenanceHosts';
export type { ControllerIdentity } from './BaobabwellMaintenanceOwnership';
export type { WaveStep } from './BaobabwellMaintenanceWavePolicy';
export type { WavePlan } from './BaobabwellMaintenanceWaves';

export { NO_EVIDENCE } from './BaobabwellMaintenance';
export {
  checkReboot,
  checkTakeOut,
  findOutage,
  getPoolBudget,
  isPlannedOut,
} from './BaobabwellMaintenanceBudget';
export { MaintenanceController } from './BaobabwellMaintenanceController';
export { MaintenanceDuty } from './BaobabwellMaintenanceDuty';
export { HostHealth } from './BaobabwellMaintenanceHealth';
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
export { decideWave, decideWaveState, WaveDuty } from './BaobabwellMaintenanceWaves';
