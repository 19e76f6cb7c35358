export type { CollectGauges } from './BaobabwellMetricsProcess';

export { EntryMetrics, ObjectiveResult } from './BaobabwellMetrics';
export { DaemonMetrics } from './BaobabwellMetricsDaemon';
export { CopyEvent, DurationMetrics, DurationSource } from './BaobabwellMetricsDurations';
export { OwnerMetrics } from './BaobabwellMetricsOwner';
export { ProcessMetrics, registerMetricsRoutes } from './BaobabwellMetricsProcess';
