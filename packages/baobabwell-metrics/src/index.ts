export { EntryMetrics } from './BaobabwellMetrics';
