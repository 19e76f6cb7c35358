export type {
  LeaseGrant,
  LeaseRequest,
  Task,
  TaskOutcome,
  WorkerAnswer,
  WorkerError,
} from './BaobabwellWorkersClient';
export type { HealthComparison } from './BaobabwellWorkersHealth';
export type { WorkerSessionDependencies } from './BaobabwellWorkersSession';

export { AnswerStream } from './BaobabwellWorkersAnswerStream';
export { WorkerClient, WorkerClientFactory } from './BaobabwellWorkersClient';
export {
  CONTROL_CONNECTIONS,
  MAX_STOP_MS,
  MAX_WORKER_CONNECTIONS,
  MISSING_TASK_TIMEOUT_MS,
  START_TTL_MS,
  TASK_TTL_MS,
  UNRESPONSIVE_WORKER_TIMEOUT_MS,
} from './BaobabwellWorkersConstants';
export { WorkerHealth } from './BaobabwellWorkersHealth';
export { HttpWorkerClient, HttpWorkerClientFactory } from './BaobabwellWorkersHttp';
export { WorkerEvent, WorkerSession } from './BaobabwellWorkersSession';
