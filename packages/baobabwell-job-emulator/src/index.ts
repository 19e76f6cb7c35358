export type { InvariantViolation } from './BaobabwellJobEmulatorOracle';
export type { HostFaults } from './BaobabwellJobEmulatorOrders';
export type { ProcessorCosts } from './BaobabwellJobEmulatorProcessor';
export type { StoreFaults, TableFaults } from './BaobabwellJobEmulatorStore';

export { CANCEL_MS, CANCELLED_RUN_MS } from './BaobabwellJobEmulatorCancellations';
export { EmulatedCloud } from './BaobabwellJobEmulatorCloud';
export {
  CAP_CPU_MILLIS,
  CAPACITY,
  CONFIGURATION,
  MAX_ATTEMPTS,
  PLAIN_STEP,
} from './BaobabwellJobEmulatorConfiguration';
export { EmulatedJobFleet } from './BaobabwellJobEmulatorFleet';
export { CrashRecovery, EmulatedHost } from './BaobabwellJobEmulatorHost';
export { JobOracle, JobInvariant } from './BaobabwellJobEmulatorOracle';
export { formatAnswer, formatRoute, OrderKind } from './BaobabwellJobEmulatorOrders';
export {
  EmulatedProcessor,
  EmulatedProcessorTime,
  NO_PROCESSOR_COSTS,
  ProcessorClock,
  scaleCosts,
} from './BaobabwellJobEmulatorProcessor';
export {
  EmulatedJobStore,
  EmulatedRows,
  NO_STORE_FAULTS,
  NO_TABLE_FAULTS,
} from './BaobabwellJobEmulatorStore';
