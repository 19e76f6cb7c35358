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
export {
  CONTROL_CONNECTIONS,
  START_TTL_MS,
  TASK_TTL_MS,
  WORKER_CONNECTIONS,
} from './BaobabwellWorkersConstants';
export { HttpWorkerClient, HttpWorkerClientFactory } from './BaobabwellWorkersHttp';
export { WorkerSession } from './BaobabwellWorkersSession';
