export type { LogFields } from './BaobabwellLogging';

export { formatEvent, Logger, LogLevel } from './BaobabwellLogging';
