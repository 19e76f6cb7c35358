import type { Measure } from './BaobabwellMeasures';

import { CallMeasure } from './BaobabwellMeasuresCall';
import { LimitMeasure } from './BaobabwellMeasuresLimit';
import { ViewMeasure } from './BaobabwellMeasuresView';

/** All measures, in the order in which `all` takes them. */
export const MEASURES: readonly Measure[] = [
  new CallMeasure(),
  new ViewMeasure(),
  new LimitMeasure(),
];

/** Finds a measure by its name. */
export function findMeasure(name: string): Measure | null {
  return MEASURES.find((measure) => measure.name === name) ?? null;
}
