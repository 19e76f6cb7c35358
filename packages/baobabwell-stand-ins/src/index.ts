export type { PlatformFaults, WorkerFaults } from './BaobabwellStandInsFaults';
export type { FindWorker } from './BaobabwellStandInsHostControl';
export type { PlatformStandIns } from './BaobabwellStandInsPlatformServer';
export type { TableBackup, TableCounts } from './BaobabwellStandInsTable';
export type {
  IncomingTask,
  LeaseGrant,
  LeaseRequest,
  LedgerLine,
  TaskResult,
} from './BaobabwellStandInsWorker';

export { NO_PLATFORM_FAULTS, NO_WORKER_FAULTS } from './BaobabwellStandInsFaults';
export { StandInHostControl } from './BaobabwellStandInsHostControl';
export { buildPassThroughServer } from './BaobabwellStandInsPassThrough';
export { StandInHostList, StandInObjectStore } from './BaobabwellStandInsPlatform';
export { buildPlatformServer } from './BaobabwellStandInsPlatformServer';
export { StandInTableService } from './BaobabwellStandInsTable';
export { LedgerEvent, RejectionCode, StandInWorker } from './BaobabwellStandInsWorker';
export { buildWorkerServer } from './BaobabwellStandInsWorkerServer';
