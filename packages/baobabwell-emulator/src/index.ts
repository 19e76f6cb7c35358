export type { CallerPlan, EndedCall } from './BaobabwellEmulatorCallers';
export type {
  EmulatedCall,
  EmulatedDecorators,
  EmulatedOverrides,
} from './BaobabwellEmulatorFleet';
export type { Endpoint, ExchangeResult, Traffic } from './BaobabwellEmulatorNetwork';
export type { RunningStep } from './BaobabwellEmulatorRunning';
export type { EmulatedDeployment, EmulatedPool, EmulatedTeam } from './BaobabwellEmulatorSettings';

export { EmulatedCallers } from './BaobabwellEmulatorCallers';
export { EmulatedFleet } from './BaobabwellEmulatorFleet';
export { EmulatedNetwork } from './BaobabwellEmulatorNetwork';
export { listRunning, measureMeanRunning } from './BaobabwellEmulatorRunning';
export {
  buildEmulatedSettings,
  getTeamSecret,
  OPERATOR_SECRET,
} from './BaobabwellEmulatorSettings';
export { EmulatedTime, NotSettledError, ProcessClock } from './BaobabwellEmulatorTime';
