export type { SplitPlan } from './BaobabwellSplit';
export type { SplitHalf, SplitHalves } from './BaobabwellSplitHalves';
export type { RehearsalLine } from './BaobabwellSplitRehearsal';

export { decideFinish, decidePause, decidePlan, decideStart, decideUndo } from './BaobabwellSplit';
export { getExportName, SplitControlLoop } from './BaobabwellSplitControlLoop';
export { getHalves } from './BaobabwellSplitHalves';
export { rehearseSplit, SplitSide } from './BaobabwellSplitRehearsal';
