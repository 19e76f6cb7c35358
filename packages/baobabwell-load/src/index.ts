export type { LoadCounts, LoadPlan } from './BaobabwellLoad';

export { runLoad } from './BaobabwellLoad';
