export type { FuzzOptions, FuzzReport } from './BaobabwellFuzz';

export { FuzzSuite } from './BaobabwellFuzz';
export { findFuzzSuite, FUZZ_SUITES } from './BaobabwellFuzzRegistry';
