import type { QueueModelState } from './BaobabwellDurationsQueue';

import { z } from 'zod';

import { BUCKET_COUNT } from './BaobabwellDurationsRatios';

/** Version of the format; a state of another version is not read. */
const VERSION = 1;

/** Bounds of the stored state. */
const MAX_QUEUES = 16;
const MAX_KINDS = 8;
const MAX_NAME_LENGTH = 100;
const MEAN_COUNT = 5;

/** Significant digits of stored numbers. */
const DIGITS = 4;

const weight = z.number().nonnegative();
const sum = z.number();

const queueState = z.object({
  regression: z.object({ weight, x: sum, y: sum, xx: sum, xy: sum }),
  ratios: z.array(weight).max(BUCKET_COUNT),
  means: z.array(z.tuple([sum, weight])).length(MEAN_COUNT),
  kinds: z.array(z.tuple([z.string().max(MAX_NAME_LENGTH), sum, sum, weight])).max(MAX_KINDS),
});

const state = z.object({
  version: z.literal(VERSION),
  queues: z.array(z.tuple([z.string().max(MAX_NAME_LENGTH), queueState])).max(MAX_QUEUES),
});

/** State of a {@link LearnedDurations} as it is stored. */
export type StoredDurations = z.infer<typeof state>;

function round(value: number): number {
  return Number(value.toPrecision(DIGITS));
}

/** Rounds a sum of a regression: differences of large sums matter. */
function roundSum(value: number): number {
  return Number(value.toPrecision(2 * DIGITS));
}

/** Formats what was learned, in bounded size: the queues and kinds with the most evidence are kept. */
export function formatDurations(
  queues: readonly (readonly [string, QueueModelState])[],
): StoredDurations {
  const kept = queues
    .filter(([name]) => name.length <= MAX_NAME_LENGTH)
    .toSorted(([, left], [, right]) => right.regression.weight - left.regression.weight)
    .slice(0, MAX_QUEUES);
  return {
    version: VERSION,
    queues: kept.map(([name, { regression, ratios, means, kinds }]) => [
      name,
      {
        regression: {
          weight: roundSum(regression.weight),
          x: roundSum(regression.x),
          y: roundSum(regression.y),
          xx: roundSum(regression.xx),
          xy: roundSum(regression.xy),
        },
        ratios: ratios.map(round),
        means: means.map(([total, evidence]) => [round(total), round(evidence)]),
        kinds: kinds
          .toSorted(([, , , left], [, , , right]) => right - left)
          .slice(0, MAX_KINDS)
          .map(([kind, estimate, duration, evidence]) => [
            kind,
            roundSum(estimate),
            roundSum(duration),
            roundSum(evidence),
          ]),
      },
    ]),
  };
}

/** Parses a stored state; returns `null` if it is corrupt or of another version. */
export function parseDurations(
  value: unknown,
): readonly (readonly [string, QueueModelState])[] | null {
  const parsed = state.safeParse(value);
  return parsed.success ? parsed.data.queues : null;
}
