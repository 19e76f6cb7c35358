import { constantFrom, integer, record } from 'fast-check';

/** What a step of a history does. */
export enum FleetStepKind {
  Drain = 'drain',
  Reboot = 'reboot',
  Move = 'move',
  Return = 'return',
  /** Two operators give conflicting commands at two entries at once. */
  Race = 'race',
  StartWave = 'start-wave',
  PauseWave = 'pause-wave',
  ResumeWave = 'resume-wave',
  AbortWave = 'abort-wave',
  StartSplit = 'start-split',
  PauseSplit = 'pause-split',
  UndoSplit = 'undo-split',
  FinishSplit = 'finish-split',
  WithdrawKey = 'withdraw-key',
  RetireTarget = 'retire-target',
  HostDown = 'host-down',
  HostUp = 'host-up',
  StoreDown = 'store-down',
  StoreSlow = 'store-slow',
  LoseAnswers = 'lose-answers',
  StoreWell = 'store-well',
  Kill = 'kill',
  Start = 'start',
  Pause = 'pause',
  Resume = 'resume',
  Cut = 'cut',
  Heal = 'heal',
  Wait = 'wait',
}

/** One step of a history. */
export type FleetStep = {
  readonly kind: FleetStepKind;
  /** Index of the entry that is meant, or at which a command is given. */
  readonly entry: number;
  readonly otherEntry: number;
  /** Index of the host that is meant. */
  readonly host: number;
  readonly pool: number;
  /** Time that passes after the step, in milliseconds. */
  readonly thenMs: number;
};

/** Entries of the fuzzed fleet. */
export const FLEET_ENTRIES = 3;

/** Hosts of each pool of the fuzzed fleet. */
export const FLEET_HOSTS = 5;

/** Pools of the fuzzed fleet; the last is the spare one. */
export const FLEET_POOLS = ['ovens', 'doors', 'spare'] as const;

/** Any step. */
export const fleetStepArbitrary = record({
  kind: constantFrom(...Object.values(FleetStepKind)),
  entry: integer({ min: 0, max: FLEET_ENTRIES - 1 }),
  otherEntry: integer({ min: 0, max: FLEET_ENTRIES - 1 }),
  host: integer({ min: 0, max: FLEET_HOSTS - 1 }),
  pool: integer({ min: 0, max: FLEET_POOLS.length - 1 }),
  thenMs: constantFrom(1, 50, 300, 1_000, 3_000, 9_000),
});
