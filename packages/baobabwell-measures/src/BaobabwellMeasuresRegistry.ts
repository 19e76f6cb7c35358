import type { Measure } from './BaobabwellMeasures';

import { CallMeasure } from './BaobabwellMeasuresCall';
import { LimitMeasure } from './BaobabwellMeasuresLimit';
import { RollOutMeasure } from './BaobabwellMeasuresRollOut';
import { ShareMeasure } from './BaobabwellMeasuresShare';
import { SlopesMeasure } from './BaobabwellMeasuresSlopes';
import { SurgeMeasure } from './BaobabwellMeasuresSurge';
import { ViewMeasure } from './BaobabwellMeasuresView';

/** All measures, in the order in which `all` runs them. */
export const MEASURES: readonly Measure[] = [
  new ViewMeasure(),
  new LimitMeasure(),
  new RollOutMeasure(),
  new CallMeasure(),
  new ShareMeasure(),
  new SurgeMeasure(),
  new SlopesMeasure(),
];

/** Finds a measure by name. */
export function findMeasure(name: string): Measure | null {
  return MEASURES.find((measure) => measure.name === name) ?? null;
}
