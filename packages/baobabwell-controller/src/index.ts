export type {
  FleetBounds,
  FleetCodec,
  TermContext,
  TermOptions,
} from './BaobabwellControllerContext';

export { Controller } from './BaobabwellController';
