export type { HostHealthListener } from './BaobabwellHostHealth';
export type { Ejection, HealthHost, HostEvidence, PoolHealth } from './BaobabwellHostHealthModel';
export type { HostInPool, StepKey } from './BaobabwellHostHealthRecords';

export { AdmissionGround, HostAdmission, HostHealth, SoleAdmission } from './BaobabwellHostHealth';
export { decideEjections, findFault } from './BaobabwellHostHealthEjections';
export { HostFault } from './BaobabwellHostHealthModel';
export { HostRecords } from './BaobabwellHostHealthRecords';
