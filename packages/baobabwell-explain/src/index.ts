export type { RequestTimeline, TimelineEvent, TimelineGap } from './BaobabwellExplainTimeline';

export { formatTimeline } from './BaobabwellExplainFormat';
export { buildTimeline, RequestOutcome } from './BaobabwellExplainTimeline';
