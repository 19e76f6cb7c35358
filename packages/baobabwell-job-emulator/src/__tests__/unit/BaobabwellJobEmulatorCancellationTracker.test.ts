import { expect } from 'earl';

import { CancellationTracker } from '../../BaobabwellJobEmulatorCancellations';

const JOB = '0000000000000001';
const TASK = `${JOB}.0.0.0`;
const OTHER_TASK = '0000000000000002.0.0.0';
const CANCELLED_AT_MS = 1_000;

describe('CancellationTracker', () => {
  let violations: string[];
  let tracker: CancellationTracker;

  beforeEach(() => {
    violations = [];
    tracker = new CancellationTracker((task, atMs) => violations.push(`${task} ${atMs}`));
    tracker.recordCancel(JOB, CANCELLED_AT_MS);
  });

  it('reports a start only when it is later than the bound and its order was not late', () => {
    tracker.recordStart(TASK, 'host-0', 4_000, false);
    tracker.recordStart(OTHER_TASK, 'host-0', 4_001, false);
    tracker.recordStart(TASK, 'host-1', 4_001, true);
    expect(violations).toEqual([]);
    tracker.recordStart(TASK, 'host-2', 4_001, false);
    expect(violations).toEqual([`${TASK} 4001`]);
  });

  it('counts the bounds from the first cancellation', () => {
    tracker.recordCancel(JOB, 3_000);
    tracker.recordStart(TASK, 'host-0', 4_001, false);
    expect(violations.length).toEqual(1);
  });

  it('lists a run of a cancelled job until its end, and one that started late from its start', () => {
    tracker.recordStart(TASK, 'host-0', 500, false);
    tracker.recordStart(OTHER_TASK, 'host-0', 500, false);
    tracker.recordStart(TASK, 'host-1', 4_000, true);
    expect(tracker.listOverdueRuns(4_900)).toEqual([]);
    expect(tracker.listOverdueRuns(4_901)).toEqual([`${TASK} on host-0`]);
    tracker.recordEnd(TASK, 'host-0');
    expect(tracker.listOverdueRuns(7_900)).toEqual([]);
    expect(tracker.listOverdueRuns(7_901)).toEqual([`${TASK} on host-1`]);
  });
});
