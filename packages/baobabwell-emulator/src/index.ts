export type { CallerPlan, EndedCall } from './BaobabwellEmulatorCallers';
export type { ConcurrencyStep } from './BaobabwellEmulatorConcurrency';
export type {
  EmulatedCall,
  EmulatedDecorators,
  EmulatedOverrides,
} from './BaobabwellEmulatorFleet';
export type { Endpoint, ExchangeResult, Traffic } from './BaobabwellEmulatorNetwork';
export type { EmulatedDeployment, EmulatedPool, EmulatedTeam } from './BaobabwellEmulatorSettings';

export { EmulatedCallers } from './BaobabwellEmulatorCallers';
export { listConcurrency, measureMeanConcurrency } from './BaobabwellEmulatorConcurrency';
export { EmulatedFleet } from './BaobabwellEmulatorFleet';
export { EmulatedNetwork } from './BaobabwellEmulatorNetwork';
export {
  buildEmulatedSettings,
  getTeamSecret,
  OPERATOR_SECRET,
} from './BaobabwellEmulatorSettings';
export { EmulatedTime, NotSettledError, ProcessClock } from './BaobabwellEmulatorTime';
