export type { LoggedEvent } from './BaobabwellLoggingParse';
export type { AdmitLine, LogFields, WriteLine } from './BaobabwellLogging';
export type { LineOutput } from './BaobabwellLoggingLineWriter';

export { formatEvent, Logger, LogLevel } from './BaobabwellLogging';
export { LineWriter } from './BaobabwellLoggingLineWriter';
export { parseEvent } from './BaobabwellLoggingParse';
