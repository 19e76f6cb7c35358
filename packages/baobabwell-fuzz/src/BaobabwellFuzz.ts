import type { IAsyncProperty } from 'fast-check';

import { check, stringify } from 'fast-check';

/** Seed and number of histories of a fuzz run. */
export type FuzzOptions = {
  readonly seed: number;
  readonly runs: number;
  /** Whether the run stops at the first failure without shrinking it. */
  readonly shouldEndOnFailure?: boolean;
};

/** Result of a fuzz run. */
export type FuzzReport = {
  readonly suite: string;
  readonly hasPassed: boolean;
  readonly runs: number;
  /** The failing history, shrunk unless disabled, and its error; `null` if all histories passed. */
  readonly failure: string | null;
};

/** Base class of suites that run the production code on random histories and check invariants. */
export abstract class FuzzSuite {
  abstract readonly name: string;

  /** Creates the fast-check property that must hold for every history. */
  abstract createProperty(): IAsyncProperty<unknown>;

  /** Runs random histories; stops at the first that violates the property and shrinks it by default. */
  async run({ seed, runs, shouldEndOnFailure = false }: FuzzOptions): Promise<FuzzReport> {
    const details = await check(this.createProperty(), {
      seed,
      numRuns: runs,
      endOnFailure: shouldEndOnFailure,
    });
    const failure = details.failed
      ? `${stringify(details.counterexample)}\n${String(details.errorInstance)}`
      : null;
    return { suite: this.name, hasPassed: !details.failed, runs: details.numRuns, failure };
  }
}
