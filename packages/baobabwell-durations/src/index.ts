export type {
  DurationErrors,
  LearnedQueue,
  RunDuration,
  RunProgress,
} from './BaobabwellDurationsModel';
export type { QueueModelState } from './BaobabwellDurationsQueue';

export { LearnedDurations } from './BaobabwellDurationsLearned';
export { CallerEstimates, DurationEstimator, RunCompleteness } from './BaobabwellDurationsModel';
export { formatDurations, parseDurations } from './BaobabwellDurationsState';
