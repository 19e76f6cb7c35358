export type {
  Figure,
  Figures,
  MeasureFindings,
  MeasureOptions,
  MeasureReport,
  Target,
} from './BaobabwellMeasures';
export type { DecisionSizes } from './BaobabwellMeasuresDecision';

export { Deployment, findFigure, isMet, Measure } from './BaobabwellMeasures';
export { measureDecision } from './BaobabwellMeasuresDecision';
export { findMeasure, MEASURES } from './BaobabwellMeasuresRegistry';
