export type { EmulatedCall, EmulatedDecorators } from './BaobabwellEmulatorFleet';
export type { Endpoint, ExchangeResult } from './BaobabwellEmulatorNetwork';
export type { EmulatedDeployment, EmulatedPool, EmulatedTeam } from './BaobabwellEmulatorSettings';

export { EmulatedFleet } from './BaobabwellEmulatorFleet';
export { EmulatedNetwork } from './BaobabwellEmulatorNetwork';
export {
  buildEmulatedSettings,
  getTeamSecret,
  OPERATOR_SECRET,
} from './BaobabwellEmulatorSettings';
export { EmulatedTime, NotSettledError, ProcessClock } from './BaobabwellEmulatorTime';
