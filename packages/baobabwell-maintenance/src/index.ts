export type {
  GetHostEvidence,
  HostEvidence,
  MaintenanceDecision,
  MaintenanceRefusal,
} from './BaobabwellMaintenance';
export type { OutOfService, PoolBudget } from './BaobabwellMaintenanceBudget';
export type { HostHealthParts } from './BaobabwellMaintenanceHealth';
export type { HostControlError, HostStatus } from './BaobabwellMaintenanceHostControl';
export type { TakeOutRequest } from './BaobabwellMaintenanceHosts';

export { NO_EVIDENCE } from './BaobabwellMaintenance';
export {
  checkReboot,
  checkTakeOut,
  findOutage,
  getPoolBudget,
  isPlannedOut,
} from './BaobabwellMaintenanceBudget';
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
