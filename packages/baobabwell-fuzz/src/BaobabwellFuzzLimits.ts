import type { LimitStep } from './BaobabwellFuzzLimitsSteps';
import type { Plugin } from '@baobabwell/kernel';
import type { IAsyncProperty } from 'fast-check';

import { array, asyncProperty, record, integer } from 'fast-check';

import { FuzzSuite } from './BaobabwellFuzz';
import { LimitsHistory } from './BaobabwellFuzzLimitsHistory';
import { limitStepArbitrary } from './BaobabwellFuzzLimitsSteps';

const MAX_STEPS = 14;
const MAX_SEED = 1_000;

/** Checks team limits against the workers' ledgers while entries and messages are lost. */
export class LimitsFuzzSuite extends FuzzSuite {
  override readonly name = 'limits';

  readonly #plugins: readonly Plugin[];

  /** @param plugins replace services of the entries; for tests that inject a defect. */
  constructor(plugins: readonly Plugin[] = []) {
    super();
    this.#plugins = plugins;
  }

  override createProperty(): IAsyncProperty<unknown> {
    const history = record({
      seed: integer({ min: 0, max: MAX_SEED }),
      steps: array(limitStepArbitrary, { minLength: 1, maxLength: MAX_STEPS }),
    });
    return asyncProperty(history, async ({ seed, steps }) => this.#runHistory(seed, steps));
  }

  async #runHistory(seed: number, steps: readonly LimitStep[]): Promise<void> {
    const history = new LimitsHistory(seed, this.#plugins);
    try {
      await history.start();
      for (const step of steps) {
        await history.run(step);
      }
      await history.finish();
    } finally {
      history.close();
    }
  }
}
