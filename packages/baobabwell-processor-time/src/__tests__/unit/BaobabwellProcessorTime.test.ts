import { expect } from 'earl';

import { Activity, ProcessorTime, ProcessorTimeReport } from '../..';

describe('processor time', () => {
  it('counts a section within another one once', () => {
    let nowMs = 0;
    const processorTime = new ProcessorTime(() => nowMs);
    const report = new ProcessorTimeReport(processorTime);
    processorTime.measure(Activity.Placement, () => {
      nowMs += 5;
      processorTime.measure(Activity.Order, () => {
        nowMs += 20;
      });
      nowMs += 3;
    });
    expect([...report.take()]).toEqual([
      [Activity.Order, { spentMs: 20, count: 1 }],
      [Activity.Placement, { spentMs: 8, count: 1 }],
    ]);
    expect([...report.take()]).toEqual([]);
  });

  it('counts a section that fails, and keeps counting the one around it', () => {
    let nowMs = 0;
    const processorTime = new ProcessorTime(() => nowMs);
    const fail = (): void => {
      nowMs += 2;
      throw new Error('unreadable row');
    };
    processorTime.measure(Activity.Storage, () => {
      expect(() => processorTime.measure(Activity.Watches, fail)).toThrow('unreadable row');
      nowMs += 1;
    });
    expect(processorTime.get(Activity.Watches)).toEqual({ spentMs: 2, count: 1 });
    expect(processorTime.get(Activity.Storage)).toEqual({ spentMs: 1, count: 1 });
  });
});
