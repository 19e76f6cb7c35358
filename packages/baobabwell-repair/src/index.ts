export type { RepairReport } from './BaobabwellRepairControlLoop';
export type { FailedHost, HasFailingTasks, HostSymptoms } from './BaobabwellRepairSymptoms';

export { RepairControlLoop } from './BaobabwellRepairControlLoop';
export { SymptomTracker } from './BaobabwellRepairSymptoms';
