import type { CallModel } from './BaobabwellFuzzCallSteps';
import type { CallSystemShape } from './BaobabwellFuzzCallSystem';
import type { EmulatedDecorators } from '@baobabwell/emulator';
import type { IAsyncProperty } from 'fast-check';

import { asyncModelRun, asyncProperty, commands } from 'fast-check';

import { checkInvariant } from '@baobabwell/utils';

import { FuzzSuite } from './BaobabwellFuzz';
import { hasNoViolations } from './BaobabwellFuzzCallOracle';
import { CALL_COMMANDS } from './BaobabwellFuzzCallSteps';
import { CallFuzzSystem } from './BaobabwellFuzzCallSystem';

const MAX_STEPS = 60;
const SHAPE: CallSystemShape = { entries: 3, workers: 3, slots: 3, seed: 5 };

/**
 * Sends calls through several entries while workers, platform, network and entries fail. Compares
 * the outcomes that callers receive with the workers' ledgers.
 */
export class CallFuzzSuite extends FuzzSuite {
  override readonly name = 'call';

  readonly #decorators: EmulatedDecorators;

  /** @param decorators wrappers that inject faults into the tested services. */
  constructor(decorators: EmulatedDecorators = {}) {
    super();
    this.#decorators = decorators;
  }

  override createProperty(): IAsyncProperty<unknown> {
    const histories = commands([...CALL_COMMANDS], { maxCommands: MAX_STEPS, size: 'max' });
    return asyncProperty(histories, async (history) => {
      const system = new CallFuzzSystem(SHAPE, this.#decorators);
      try {
        await system.start();
        await asyncModelRun(() => ({ model: {} as CallModel, real: system }), history);
        const violations = await system.findViolations();
        checkInvariant(hasNoViolations(violations), JSON.stringify(violations));
      } finally {
        system.close();
      }
    }) as IAsyncProperty<unknown>;
  }
}
