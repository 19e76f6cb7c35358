export type { FuzzOptions, FuzzReport } from './BaobabwellFuzz';
export type { ObservedCall, Violations } from './BaobabwellFuzzCallOracle';
export type { CallSystemShape, FuzzCall } from './BaobabwellFuzzCallSystem';

export { FuzzSuite } from './BaobabwellFuzz';
export { CallFuzzSystem } from './BaobabwellFuzzCallSystem';
export { findFuzzSuite, FUZZ_SUITES } from './BaobabwellFuzzRegistry';
