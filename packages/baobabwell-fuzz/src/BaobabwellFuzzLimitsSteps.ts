import type { Arbitrary } from 'fast-check';

import { constantFrom, integer, oneof, record } from 'fast-check';

/** Actions and faults of a history. */
export enum LimitStepKind {
  Kill = 'kill',
  /** Stops an entry gracefully. */
  Stop = 'stop',
  Start = 'start',
  Pause = 'pause',
  Resume = 'resume',
  FenceMember = 'remove',
  Partition = 'cut',
  RepeatMessages = 'repeat',
  Heal = 'heal',
  StopStore = 'stop-store',
  StartStore = 'start-store',
  ChangeLimit = 'limit',
  LoseAnswers = 'lose-answers',
  UnresponsiveWorker = 'silence',
}

/** One step of a history; `entry` and `other` are indexes of entries. */
export type LimitStep = {
  readonly kind: LimitStepKind;
  readonly entry: number;
  /** The other endpoint of a partition; the index after the last entry is the platform. */
  readonly other: number;
  readonly limit: number;
  /** Time to wait after the step, in milliseconds. */
  readonly waitAfterMs: number;
};

/** Number of entries of the fuzzed fleet. */
export const LIMITS_ENTRIES = 3;

const MAX_LIMIT = 8;

const SHORT_WAIT_MS = { min: 1, max: 200 };
const LONG_WAIT_MS = { min: 500, max: 6_000 };

/** Generates a random step. */
export const limitStepArbitrary: Arbitrary<LimitStep> = record({
  kind: constantFrom(...Object.values(LimitStepKind)),
  entry: integer({ min: 0, max: LIMITS_ENTRIES - 1 }),
  other: integer({ min: 0, max: LIMITS_ENTRIES }),
  limit: integer({ min: 1, max: MAX_LIMIT }),
  waitAfterMs: oneof(integer(SHORT_WAIT_MS), integer(LONG_WAIT_MS)),
});
