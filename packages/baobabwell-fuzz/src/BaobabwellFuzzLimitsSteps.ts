import type { Arbitrary } from 'fast-check';

import { constantFrom, integer, oneof, record } from 'fast-check';

/** What a step does to the fleet. */
export enum LimitStepKind {
  Kill = 'kill',
  /** A stop in good order. */
  Stop = 'stop',
  Start = 'start',
  Pause = 'pause',
  Resume = 'resume',
  Remove = 'remove',
  Cut = 'cut',
  Repeat = 'repeat',
  Heal = 'heal',
  StopStore = 'stop-store',
  StartStore = 'start-store',
  Limit = 'limit',
  LoseAnswers = 'lose-answers',
  Silence = 'silence',
}

/** One step of a history; the entries are numbers among those of the fleet. */
export type LimitStep = {
  readonly kind: LimitStepKind;
  readonly entry: number;
  /** The other end of a cut; one beyond the last entry is the platform. */
  readonly other: number;
  readonly limit: number;
  /** Time that passes after the step. */
  readonly thenMs: number;
};

/** Entries of the fleet. */
export const ENTRIES = 3;

const MAX_LIMIT = 8;

const SHORT_MS = { min: 1, max: 200 };
const LONG_MS = { min: 500, max: 6_000 };

/** Any step. */
export const stepArbitrary: Arbitrary<LimitStep> = record({
  kind: constantFrom(...Object.values(LimitStepKind)),
  entry: integer({ min: 0, max: ENTRIES - 1 }),
  other: integer({ min: 0, max: ENTRIES }),
  limit: integer({ min: 1, max: MAX_LIMIT }),
  thenMs: oneof(integer(SHORT_MS), integer(LONG_MS)),
});
