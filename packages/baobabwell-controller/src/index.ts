export type { TermContext } from './BaobabwellControllerContext';
export type { TermOptions } from './BaobabwellControllerTermOptions';
export type { EvacuationReport } from './BaobabwellControllerEvacuationReport';
export type { FleetBounds, FleetCodec } from './BaobabwellControllerModel';

export { Controller } from './BaobabwellController';
export { HOST_LEASE_MS, MACHINE_ORDERS_TABLE } from './BaobabwellControllerConstants';
export { PeerReports } from './BaobabwellControllerStoreOutage';
export { listEvacuationReports } from './BaobabwellControllerEvacuationReport';
export { countWaitingJobs } from './BaobabwellControllerWaitingJobs';
