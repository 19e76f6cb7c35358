import type { FuzzSuite } from './BaobabwellFuzz';

import { CallFuzzSuite } from './BaobabwellFuzzCall';
import { FleetFuzzSuite } from './BaobabwellFuzzFleet';
import { CapacityFuzzSuite, JobsFuzzSuite } from './BaobabwellFuzzJobs';
import { LimitsFuzzSuite } from './BaobabwellFuzzLimits';
import { ViewFuzzSuite } from './BaobabwellFuzzView';

/** All fuzz suites. */
export const FUZZ_SUITES: readonly FuzzSuite[] = [
  new LimitsFuzzSuite(),
  new FleetFuzzSuite(),
  new CallFuzzSuite(),
  new JobsFuzzSuite(),
  new CapacityFuzzSuite(),
  new ViewFuzzSuite(),
];

/** Finds a suite by name. */
export function findFuzzSuite(name: string): FuzzSuite | null {
  return FUZZ_SUITES.find((suite) => suite.name === name) ?? null;
}
