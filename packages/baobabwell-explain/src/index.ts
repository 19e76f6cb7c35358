export type { RequestStory, StoryLine, StoryPause } from './BaobabwellExplainStory';

export { formatStory } from './BaobabwellExplainFormat';
export { buildStory, RequestOutcome } from './BaobabwellExplainStory';
