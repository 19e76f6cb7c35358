export type { ReportRepairEvent } from './BaobabwellRepairControlLoop';
export type { FailedHost, HasFailingTasks, HostSymptoms } from './BaobabwellRepairSymptoms';

export { RepairControlLoop } from './BaobabwellRepairControlLoop';
export { SymptomTracker } from './BaobabwellRepairSymptoms';
