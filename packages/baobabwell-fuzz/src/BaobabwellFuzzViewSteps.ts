import type { Arbitrary } from 'fast-check';

import { constant, integer, oneof, record } from 'fast-check';

/** Entries of the fuzzed deployment. */
export const VIEW_ENTRIES = 5;

const LONGEST_ADVANCE_MS = 6_000;
const LONGEST_SLOW_MS = 900;
const LOST_PERCENT = 40;

/** How the table service behaves. */
export enum StoreCondition {
  Sound = 'sound',
  Down = 'down',
  Slow = 'slow',
  LosesAnswers = 'loses-answers',
}

/** One step of a history; entries are named by their index. */
export type ViewStep =
  /** Loses everything that one endpoint sends to another; index zero is the platform. */
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

/** Any step. Time and cuts come often, since most faults need both. */
export const viewStep: Arbitrary<ViewStep> = oneof(
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
      durationMs: integer({ min: 1, max: LONGEST_ADVANCE_MS }),
    }),
  },
);

/** Faults of the platform that make up a condition of the table service. */
export function buildStoreFaults(condition: StoreCondition): {
  readonly down: boolean;
  readonly slowMs: number;
  readonly loseAnswers: number;
} {
  return {
    down: condition === StoreCondition.Down,
    slowMs: condition === StoreCondition.Slow ? LONGEST_SLOW_MS : 0,
    loseAnswers: condition === StoreCondition.LosesAnswers ? LOST_PERCENT / 100 : 0,
  };
}
