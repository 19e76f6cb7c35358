export type { RepairReport } from './BaobabwellRepairDuty';
export type { FailedHost, HasBadResults, HostSymptoms } from './BaobabwellRepairSymptoms';

export { RepairDuty } from './BaobabwellRepairDuty';
export { SymptomTracker } from './BaobabwellRepairSymptoms';
