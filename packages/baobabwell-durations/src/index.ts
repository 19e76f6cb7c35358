export { CallerEstimates, DurationEstimator } from './BaobabwellDurationsModel';
