export type { DaemonAdapters, DaemonSettings, ListenAddress } from './BaobabwellDaemonSettings';

export { buildDaemon } from './BaobabwellDaemon';
export { runDaemonProcess } from './BaobabwellDaemonProcess';
export { DaemonState } from './BaobabwellDaemonState';
