import type { FuzzSuite } from './BaobabwellFuzz';

import { CallFuzzSuite } from './BaobabwellFuzzCall';

/** All suites. */
export const FUZZ_SUITES: readonly FuzzSuite[] = [new CallFuzzSuite()];

/** Finds a suite by its name. */
export function findFuzzSuite(name: string): FuzzSuite | null {
  return FUZZ_SUITES.find((suite) => suite.name === name) ?? null;
}
