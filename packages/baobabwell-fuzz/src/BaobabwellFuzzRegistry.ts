import type { FuzzSuite } from './BaobabwellFuzz';

import { CallFuzzSuite } from './BaobabwellFuzzCall';
import { LimitsSuite } from './BaobabwellFuzzLimits';

/** All suites. */
export const FUZZ_SUITES: readonly FuzzSuite[] = [new CallFuzzSuite(), new LimitsSuite()];

/** Finds a suite by its name. */
export function findFuzzSuite(name: string): FuzzSuite | null {
  return FUZZ_SUITES.find((suite) => suite.name === name) ?? null;
}
