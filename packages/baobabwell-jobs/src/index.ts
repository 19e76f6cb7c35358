export type { CrashBlame, CrashedRun, HostCrash } from './BaobabwellJobsCrashBlame';
export type { CrashEvidence } from './BaobabwellJobsCrashes';
export type {
  JobRecord,
  JobSpec,
  QueueSettings,
  RepeatSpec,
  Resources,
  RunOnHost,
  StepSpec,
  StoredStart,
  TaskName,
} from './BaobabwellJobsModel';
export type { QueueRules } from './BaobabwellJobsRegistry';
export type { MemoryLimits } from './BaobabwellJobsMemory';
export type { JobProgress, LeftoverRuns, ProgressRow } from './BaobabwellJobsRows';

export { decideCrashBlame } from './BaobabwellJobsCrashBlame';
export { CrashSuspicion, TaskCrashes } from './BaobabwellJobsCrashes';
export {
  computeMemoryLimits,
  countLongRunningTasks,
  countTasks,
  estimateJobBytes,
  TaskBudget,
} from './BaobabwellJobsMemory';
export { formatTaskName, JobState, parseTaskName, RunEnd } from './BaobabwellJobsModel';
export { OccurrenceSet } from './BaobabwellJobsOccurrences';
export { JobRegistry, RunEndEffect } from './BaobabwellJobsRegistry';
export { addResources, fitsInto, NO_RESOURCES } from './BaobabwellJobsResources';
export { createJobProgress, createProgressRow, parseJobProgress } from './BaobabwellJobsRows';
export {
  countLeftoverRuns,
  isEnded,
  Job,
  Run,
  RunPhase,
  Step,
  Task,
  TaskPhase,
} from './BaobabwellJobsTracking';
