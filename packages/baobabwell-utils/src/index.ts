export type { CancelTimer, ClockReading } from './BaobabwellClock';
export type { Finding, SourceLocation } from './BaobabwellFindings';
export type { Result } from './BaobabwellResult';

export {
  addTime,
  Clock,
  getElapsedMs,
  readClocks,
  startRepeatedTimer,
  SystemClock,
} from './BaobabwellClock';
export { Deadline } from './BaobabwellDeadline';
export { FindingList, formatFinding } from './BaobabwellFindings';
export { checkInvariant, InvariantError } from './BaobabwellInvariant';
export { Random } from './BaobabwellRandom';
export { createError, createOk } from './BaobabwellResult';
export { startResponseTimer } from './BaobabwellResponseTimer';
export { RetryDelay } from './BaobabwellRetryDelay';
export { WakeSignal } from './BaobabwellWakeSignal';
