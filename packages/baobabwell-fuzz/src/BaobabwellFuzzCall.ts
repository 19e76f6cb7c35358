import type { CallModel } from './BaobabwellFuzzCallSteps';
import type { CallSystemShape } from './BaobabwellFuzzCallSystem';
import type { EmulatedDecorators } from '@baobabwell/emulator';
import type { IAsyncProperty } from 'fast-check';

import { asyncModelRun, asyncProperty, commands } from 'fast-check';

import { checkInvariant } from '@baobabwell/utils';

import { FuzzSuite } from './BaobabwellFuzz';
import { isClean } from './BaobabwellFuzzCallOracle';
import { CALL_COMMANDS } from './BaobabwellFuzzCallSteps';
import { CallFuzzSystem } from './BaobabwellFuzzCallSystem';

const MAX_STEPS = 60;
const SHAPE: CallSystemShape = { entries: 3, workers: 3, slots: 3, seed: 5 };

/**
 * Calls through several entries under every fault of workers, platform, network and entries. What
 * callers are told is compared with what the workers' own ledgers say.
 */
export class CallFuzzSuite extends FuzzSuite {
  override readonly name = 'call';

  readonly #decorators: EmulatedDecorators;

  /** @param decorators parts that are broken on purpose. */
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
        checkInvariant(isClean(violations), JSON.stringify(violations));
      } finally {
        system.close();
      }
    }) as IAsyncProperty<unknown>;
  }
}
