import type { Arbitrary } from 'fast-check';

import { constant, integer, oneof, record } from 'fast-check';

/** Number of entries of the fuzzed deployment. */
export const VIEW_ENTRIES = 5;

const MAX_ADVANCE_MS = 6_000;
const STORE_DELAY_MS = 900;
const LOST_ANSWER_PERCENT = 40;

/** Condition of the table service. */
export enum StoreCondition {
  Healthy = 'sound',
  Down = 'down',
  Slow = 'slow',
  LosesAnswers = 'loses-answers',
}

/** One step of a history; entries are given by index, starting at one. */
export type ViewStep =
  /** Drops all messages from one endpoint to another; index zero is the platform. */
  | { readonly kind: 'cut'; readonly from: number; readonly to: number }
  | { readonly kind: 'heal' }
  | { readonly kind: 'pause'; readonly entry: number }
  | { readonly kind: 'resume'; readonly entry: number }
  | { readonly kind: 'kill'; readonly entry: number }
  | { readonly kind: 'start'; readonly entry: number }
  | { readonly kind: 'grant'; readonly entry: number }
  | { readonly kind: 'withdraw'; readonly entry: number; readonly key: number }
  | { readonly kind: 'store'; readonly condition: StoreCondition }
  | { readonly kind: 'advance'; readonly durationMs: number };

const entry = integer({ min: 1, max: VIEW_ENTRIES });
const endpoint = integer({ min: 0, max: VIEW_ENTRIES });

/** Generates a random step. Time and partitions are frequent since most faults need both. */
export const viewStepArbitrary: Arbitrary<ViewStep> = oneof(
  {
    weight: 4,
    arbitrary: record({ kind: constant('cut' as const), from: endpoint, to: endpoint }),
  },
  { weight: 1, arbitrary: record({ kind: constant('heal' as const) }) },
  { weight: 2, arbitrary: record({ kind: constant('pause' as const), entry }) },
  { weight: 2, arbitrary: record({ kind: constant('resume' as const), entry }) },
  { weight: 1, arbitrary: record({ kind: constant('kill' as const), entry }) },
  { weight: 1, arbitrary: record({ kind: constant('start' as const), entry }) },
  { weight: 1, arbitrary: record({ kind: constant('grant' as const), entry }) },
  {
    weight: 2,
    arbitrary: record({
      kind: constant('withdraw' as const),
      entry,
      key: integer({ min: 0, max: 9 }),
    }),
  },
  {
    weight: 2,
    arbitrary: record({
      kind: constant('store' as const),
      condition: oneof(...Object.values(StoreCondition).map((value) => constant(value))),
    }),
  },
  {
    weight: 5,
    arbitrary: record({
      kind: constant('advance' as const),
      durationMs: integer({ min: 1, max: MAX_ADVANCE_MS }),
    }),
  },
);

/** Builds the platform faults that put the table service into a condition. */
export function buildStoreFaults(condition: StoreCondition): {
  readonly down: boolean;
  readonly slowMs: number;
  readonly loseAnswers: number;
} {
  return {
    down: condition === StoreCondition.Down,
    slowMs: condition === StoreCondition.Slow ? STORE_DELAY_MS : 0,
    loseAnswers: condition === StoreCondition.LosesAnswers ? LOST_ANSWER_PERCENT / 100 : 0,
  };
}
