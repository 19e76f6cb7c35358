export type { CrashBlame, CrashedRun, HostCrash } from './BaobabwellJobsCrashes';
export type {
  JobRecord,
  JobSpec,
  RepeatSpec,
  Resources,
  StepSpec,
  TaskName,
} from './BaobabwellJobsModel';
export type { QueueRules } from './BaobabwellJobsRegistry';
export type { JobProgress, StoredStart } from './BaobabwellJobsRows';

export { CrashSuspicion, decideCrashBlame, TaskCrashes } from './BaobabwellJobsCrashes';
export { formatTaskName, JobState, parseTaskName, RunEnd } from './BaobabwellJobsModel';
export { JobRegistry, RunEndEffect } from './BaobabwellJobsRegistry';
export { createJobProgress, parseJobProgress } from './BaobabwellJobsRows';
export { isEnded, Job, Run, RunPhase, Step, Task, TaskPhase } from './BaobabwellJobsTracking';
