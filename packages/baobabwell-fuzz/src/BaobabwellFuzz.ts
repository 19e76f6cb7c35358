import type { IAsyncProperty } from 'fast-check';

import { check, stringify } from 'fast-check';

/** How much to try, and from which seed. */
export type FuzzOptions = {
  readonly seed: number;
  readonly runs: number;
  /** Whether the first failure ends the search as it was found; otherwise it is shrunk. */
  readonly endsOnFailure?: boolean;
};

/** What a suite found. */
export type FuzzReport = {
  readonly suite: string;
  readonly isPassed: boolean;
  readonly runs: number;
  /** The shrunk case and what it broke, or `null`. */
  readonly failure: string | null;
};

/** Random histories of the real code, compared with a simple oracle after each step. */
export abstract class FuzzSuite {
  abstract readonly name: string;

  /** Creates the property that every history must keep. */
  abstract createProperty(): IAsyncProperty<unknown>;

  /** Tries histories and shrinks the first that breaks the property. */
  async run({ seed, runs, endsOnFailure = false }: FuzzOptions): Promise<FuzzReport> {
    const details = await check(this.createProperty(), {
      seed,
      numRuns: runs,
      endOnFailure: endsOnFailure,
    });
    const failure = details.failed
      ? `${stringify(details.counterexample)}\n${String(details.errorInstance)}`
      : null;
    return { suite: this.name, isPassed: !details.failed, runs: details.numRuns, failure };
  }
}
