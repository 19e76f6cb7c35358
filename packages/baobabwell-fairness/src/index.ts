export type {
  FairOrderSnapshot,
  OrganisationDemand,
  PoolUsage,
  ReadyWork,
} from './BaobabwellFairnessModel';

export { decideFairOrder } from './BaobabwellFairnessOrder';
export { ArrivalRates } from './BaobabwellFairnessRates';
export { computeShareLevel, getDominantShare } from './BaobabwellFairnessShares';
