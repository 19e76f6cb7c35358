import type { FaultInjector } from '../../BaobabwellFuzzView';
import type { ViewStep } from '../../BaobabwellFuzzViewSteps';

import { expect } from 'earl';

import { FRESHNESS } from '@baobabwell/entry';

import { runViewHistory, ViewFuzzSuite } from '../../BaobabwellFuzzView';

const SEED = 7;
const RUNS = 2;
const PLATFORM = 0;

const dropFreshnessRule: FaultInjector = (fleet, entry) => {
  Object.assign(fleet.getService(entry, FRESHNESS), { isCurrent: () => true });
};

const resetAges: FaultInjector = (fleet, entry) => {
  const freshness = fleet.getService(entry, FRESHNESS);
  const recordConfirmation = freshness.recordConfirmation.bind(freshness);
  Object.assign(freshness, {
    recordConfirmation: () => recordConfirmation(fleet.time.getNow()),
  });
};

/** Entries 4 and 5 can reach only each other while a key is withdrawn. */
const partitionedPair: readonly ViewStep[] = [
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
  it('finds no violated invariant', async () => {
    const report = await new ViewFuzzSuite().run({ seed: SEED, runs: RUNS });
    expect(report.failure).toEqual(null);
  });

  it('passes when two partitioned entries stop accepting work', async () => {
    await runViewHistory(SEED, partitionedPair);
  });

  it('detects entries that work without the freshness rule', async () => {
    await expect(runViewHistory(SEED, partitionedPair, dropFreshnessRule)).toBeRejectedWith(
      /accepts key key-guilds, withdrawn \d+ ms ago/,
    );
  });

  it('detects ages that are reset when a confirmation is relayed', async () => {
    await expect(runViewHistory(SEED, partitionedPair, resetAges)).toBeRejectedWith(
      /accepts key key-guilds, withdrawn \d+ ms ago/,
    );
  });
});
