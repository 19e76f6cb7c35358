import { expect } from 'earl';

import { decideCpuLimitPercent } from '../../BaobabwellControllerBestEffortThrottle';

describe('CPU limit of best-effort tasks', () => {
  it('drops fast at a high tail latency, rises slowly at a low one and stays the same in between', () => {
    const shares = [0.5, 0.95, 1.3, 1.1, 0.8, 0.6, 0.6, 0.5];
    const limits: number[] = [];
    shares.reduce((percent, share) => {
      const next = decideCpuLimitPercent(percent, share);
      limits.push(next);
      return next;
    }, 100);
    expect(limits).toEqual([100, 50, 12, 0, 0, 15, 30, 45]);
  });
});
