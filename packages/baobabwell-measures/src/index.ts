export type {
  Figure,
  Figures,
  MeasureFindings,
  MeasureOptions,
  MeasureReport,
  Target,
} from './BaobabwellMeasures';

export { Deployment, findFigure, isMet, Measure } from './BaobabwellMeasures';
export { findMeasure, MEASURES } from './BaobabwellMeasuresRegistry';
export type { DecisionSizes } from './BaobabwellMeasuresDecision';
export { measureDecision } from './BaobabwellMeasuresDecision';
