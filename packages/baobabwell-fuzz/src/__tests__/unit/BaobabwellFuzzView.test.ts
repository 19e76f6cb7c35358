import type { Sabotage } from '../../BaobabwellFuzzView';
import type { ViewStep } from '../../BaobabwellFuzzViewSteps';

import { expect } from 'earl';

import { FRESHNESS } from '@baobabwell/entry';

import { runViewHistory, ViewFuzzSuite } from '../../BaobabwellFuzzView';

const SEED = 7;
const RUNS = 2;
const PLATFORM = 0;

const dropFreshnessRule: Sabotage = (fleet, entry) => {
  Object.assign(fleet.getService(entry, FRESHNESS), { isCurrent: () => true });
};

const restartAges: Sabotage = (fleet, entry) => {
  const freshness = fleet.getService(entry, FRESHNESS);
  const recordConfirmation = freshness.recordConfirmation.bind(freshness);
  Object.assign(freshness, {
    recordConfirmation: () => recordConfirmation(fleet.time.getNow()),
  });
};

/** Entries 4 and 5 hear only from each other while a key is withdrawn. */
const cutPair: readonly ViewStep[] = [
  ...[4, 5].flatMap((inside) =>
    [PLATFORM, 1, 2, 3].flatMap((outside) => [
      { kind: 'cut' as const, from: inside, to: outside },
      { kind: 'cut' as const, from: outside, to: inside },
    ]),
  ),
  { kind: 'withdraw', entry: 1, key: 0 },
  { kind: 'advance', durationMs: 5_000 },
];

describe('the view suite', () => {
  it('passes on the product', async () => {
    const report = await new ViewFuzzSuite().run({ seed: SEED, runs: RUNS });
    expect(report.failure).toEqual(null);
  });

  it('accepts that a pair that is cut off stops', async () => {
    await runViewHistory(SEED, cutPair);
  });

  it('catches entries that work without the freshness rule', async () => {
    await expect(runViewHistory(SEED, cutPair, dropFreshnessRule)).toBeRejectedWith(
      /takes key key-guilds, withdrawn \d+ ms ago/,
    );
  });

  it('catches ages that restart when news is relayed', async () => {
    await expect(runViewHistory(SEED, cutPair, restartAges)).toBeRejectedWith(
      /takes key key-guilds, withdrawn \d+ ms ago/,
    );
  });
});
