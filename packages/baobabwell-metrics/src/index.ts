export type { CollectGauges } from './BaobabwellMetrics';

export { EntryMetrics, ObjectiveResult } from './BaobabwellMetrics';
export { DaemonMetrics } from './BaobabwellMetricsDaemon';
export { OwnerMetrics } from './BaobabwellMetricsOwner';
