export type {
  LeaseGrant,
  LeaseRequest,
  Task,
  TaskOutcome,
  WorkerAnswer,
  WorkerError,
} from './BaobabwellWorkersClient';
export type { HealthComparison } from './BaobabwellWorkersHealth';
export type { WorkerSessionParts } from './BaobabwellWorkersSession';

export { AnswerStream } from './BaobabwellWorkersAnswerStream';
export { WorkerClient, WorkerClientFactory } from './BaobabwellWorkersClient';
export {
  CONTROL_CONNECTIONS,
  SILENT_TASK_MS,
  SILENT_WORKER_MS,
  START_TTL_MS,
  STOP_BOUND_MS,
  TASK_TTL_MS,
  WORKER_CONNECTIONS,
} from './BaobabwellWorkersConstants';
export { WorkerHealth } from './BaobabwellWorkersHealth';
export { HttpWorkerClient, HttpWorkerClientFactory } from './BaobabwellWorkersHttp';
export { WorkerEvent, WorkerSession } from './BaobabwellWorkersSession';
