export type { FuzzOptions, FuzzReport } from './BaobabwellFuzz';
export type { Sabotage } from './BaobabwellFuzzView';

export { FuzzSuite } from './BaobabwellFuzz';
export { findFuzzSuite, FUZZ_SUITES } from './BaobabwellFuzzRegistry';
export { runViewHistory, ViewFuzzSuite } from './BaobabwellFuzzView';
