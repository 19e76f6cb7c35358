import { expect } from 'earl';

import { RetryDelay } from '../../index';

describe('RetryDelay', () => {
  it('doubles the delay up to the maximum and starts again after a success', () => {
    const delay = new RetryDelay(100, 350);
    const failed = [1, 2, 3, 4].map(() => delay.advance());
    delay.reset();
    expect([...failed, delay.advance()]).toEqual([100, 200, 350, 350, 100]);
  });
});
