export type { CollectGauges } from './BaobabwellMetricsProcess';

export { EntryMetrics, ObjectiveResult } from './BaobabwellMetrics';
export { CarriageMetrics } from './BaobabwellMetricsCarriage';
export { DaemonMetrics } from './BaobabwellMetricsDaemon';
export { CopyEvent, DurationMetrics, DurationSource } from './BaobabwellMetricsDurations';
export { OwnerMetrics } from './BaobabwellMetricsOwner';
export { ProcessMetrics, registerMetricsRoutes } from './BaobabwellMetricsProcess';
