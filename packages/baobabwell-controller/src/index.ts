export type { TermContext, TermOptions } from './BaobabwellControllerContext';
export type { FleetBounds, FleetCodec } from './BaobabwellControllerModel';

export { Controller } from './BaobabwellController';
export { PeerReports } from './BaobabwellControllerStoreOutage';
