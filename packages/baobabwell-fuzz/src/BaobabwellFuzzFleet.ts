import type { OperatorServiceHook } from './BaobabwellFuzzFleetHistory';
import type { FleetStep } from './BaobabwellFuzzFleetSteps';
import type { IAsyncProperty } from 'fast-check';

import { array, asyncProperty, integer, record } from 'fast-check';

import { FuzzSuite } from './BaobabwellFuzz';
import { FleetHistory } from './BaobabwellFuzzFleetHistory';
import { fleetStepArbitrary } from './BaobabwellFuzzFleetSteps';

const MAX_STEPS = 16;
const MAX_SEED = 1_000;

/**
 * Runs operator commands, waves, moves and failures on a small fleet. Checks the change log and the
 * workers' ledgers.
 */
export class FleetFuzzSuite extends FuzzSuite {
  override readonly name = 'fleet';

  readonly #prepare: OperatorServiceHook;

  /** @param prepare modifies each entry's operator service; for tests that inject a defect. */
  constructor(prepare: OperatorServiceHook = () => {}) {
    super();
    this.#prepare = prepare;
  }

  override createProperty(): IAsyncProperty<unknown> {
    const history = record({
      seed: integer({ min: 0, max: MAX_SEED }),
      steps: array(fleetStepArbitrary, { minLength: 1, maxLength: MAX_STEPS }),
    });
    return asyncProperty(history, async ({ seed, steps }) => this.#runHistory(seed, steps));
  }

  async #runHistory(seed: number, steps: readonly FleetStep[]): Promise<void> {
    const history = new FleetHistory(seed, this.#prepare);
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
