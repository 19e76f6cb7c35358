export type { ActivityTime } from './BaobabwellProcessorTime';

export { Activity, ProcessorTime, ProcessorTimeReport } from './BaobabwellProcessorTime';
