import { constantFrom, integer, record } from 'fast-check';

/** Actions and faults of a history. */
export enum FleetStepKind {
  Drain = 'drain',
  Reboot = 'reboot',
  Move = 'move',
  Return = 'return',
  /** Sends conflicting commands to two entries at the same time. */
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
  StoreHealthy = 'store-well',
  Kill = 'kill',
  Start = 'start',
  Pause = 'pause',
  Resume = 'resume',
  Partition = 'cut',
  Heal = 'heal',
  Wait = 'wait',
}

/** One step of a history. */
export type FleetStep = {
  readonly kind: FleetStepKind;
  /** Index of the entry that the step affects or that receives the command. */
  readonly entry: number;
  readonly otherEntry: number;
  /** Index of the affected host in its pool. */
  readonly host: number;
  readonly pool: number;
  /** Time to wait after the step, in milliseconds. */
  readonly waitAfterMs: number;
};

/** Number of entries of the fuzzed fleet. */
export const FLEET_ENTRIES = 3;

/** Number of hosts in each pool of the fuzzed fleet. */
export const FLEET_HOSTS = 5;

/** Pools of the fuzzed fleet; the last one is the spare pool. */
export const FLEET_POOLS = ['ovens', 'doors', 'spare'] as const;

/** Generates a random step. */
export const fleetStepArbitrary = record({
  kind: constantFrom(...Object.values(FleetStepKind)),
  entry: integer({ min: 0, max: FLEET_ENTRIES - 1 }),
  otherEntry: integer({ min: 0, max: FLEET_ENTRIES - 1 }),
  host: integer({ min: 0, max: FLEET_HOSTS - 1 }),
  pool: integer({ min: 0, max: FLEET_POOLS.length - 1 }),
  waitAfterMs: constantFrom(1, 50, 300, 1_000, 3_000, 9_000),
});
