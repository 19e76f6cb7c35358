export type {
  GetHostEvidence,
  HostEvidence,
  MaintenanceDecision,
  MaintenanceRefusal,
} from './BaobabwellMaintenance';
export type { OutOfService, PoolBudget } from './BaobabwellMaintenanceBudget';
export type { TakeOutRequest } from './BaobabwellMaintenanceHosts';

export { NO_EVIDENCE } from './BaobabwellMaintenance';
export {
  checkReboot,
  checkTakeOut,
  findOutage,
  getPoolBudget,
  isPlannedOut,
} from './BaobabwellMaintenanceBudget';
export {
  buildHostState,
  buildReturn,
  decideReturn,
  decideTakeOut,
  findHost,
} from './BaobabwellMaintenanceHosts';
