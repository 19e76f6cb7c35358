export type { FuzzOptions, FuzzReport } from './BaobabwellFuzz';
export type { ObservedCall, Violations } from './BaobabwellFuzzCallOracle';
export type { CallSystemShape, FuzzCall } from './BaobabwellFuzzCallSystem';
export type { OperatorServiceHook } from './BaobabwellFuzzFleetHistory';
export type { FaultInjector } from './BaobabwellFuzzView';

export { FuzzSuite } from './BaobabwellFuzz';
export { CallFuzzSystem } from './BaobabwellFuzzCallSystem';
export { FleetFuzzSuite } from './BaobabwellFuzzFleet';
export { CapacityFuzzSuite, JobsFuzzSuite } from './BaobabwellFuzzJobs';
export { findFuzzSuite, FUZZ_SUITES } from './BaobabwellFuzzRegistry';
export { runViewHistory, ViewFuzzSuite } from './BaobabwellFuzzView';
