import { expect } from 'earl';

import { RetryDelay } from '../../index';

describe('pauses between attempts', () => {
  it('double up to the longest, and start anew after a success', () => {
    const delay = new RetryDelay(100, 350);
    const failed = [1, 2, 3, 4].map(() => delay.advance());
    delay.settle();
    expect([...failed, delay.advance()]).toEqual([100, 200, 350, 350, 100]);
  });
});
