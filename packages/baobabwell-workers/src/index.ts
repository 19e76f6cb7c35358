export type {
  LeaseGrant,
  LeaseRequest,
  Task,
  TaskOutcome,
  WorkerAnswer,
  WorkerError,
} from './BaobabwellWorkersClient';
export type { WorkerSessionParts } from './BaobabwellWorkersSession';

export { WorkerClient, WorkerClientFactory } from './BaobabwellWorkersClient';
export { CONTROL_CONNECTIONS, WORKER_CONNECTIONS } from './BaobabwellWorkersConstants';
export { HttpWorkerClient, HttpWorkerClientFactory } from './BaobabwellWorkersHttp';
export { WorkerSession } from './BaobabwellWorkersSession';
