export type { FuzzOptions, FuzzReport } from './BaobabwellFuzz';
export type { PrepareService } from './BaobabwellFuzzFleetHistory';
export type { Sabotage } from './BaobabwellFuzzView';

export { FuzzSuite } from './BaobabwellFuzz';
export { FleetSuite } from './BaobabwellFuzzFleet';
export { findFuzzSuite, FUZZ_SUITES } from './BaobabwellFuzzRegistry';
export { runViewHistory, ViewFuzzSuite } from './BaobabwellFuzzView';
