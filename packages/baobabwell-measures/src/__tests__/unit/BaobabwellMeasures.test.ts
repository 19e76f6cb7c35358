import { expect } from 'earl';

import { isMet } from '../../BaobabwellMeasures';

describe('isMet', () => {
  it('resolves dotted paths and checks both kinds of bound', () => {
    const figures = { share: 0.04, loss: { fullServiceMs: 900 } };
    const targets = { share: { atMost: 0.05 }, 'loss.fullServiceMs': { atLeast: 900 } };
    expect(isMet({ figures, baseline: {}, targets })).toEqual(true);
  });

  it('is false when a bound is violated or a figure is missing', () => {
    const targets = { share: { atMost: 0.05 } };
    expect(isMet({ figures: { share: 0.06 }, baseline: {}, targets })).toEqual(false);
    expect(isMet({ figures: {}, baseline: {}, targets })).toEqual(false);
  });
});
