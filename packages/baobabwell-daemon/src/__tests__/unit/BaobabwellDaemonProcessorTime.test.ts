import type { Undo } from '@baobabwell/kernel';

import { expect } from 'earl';

import { EmulatedTime, ProcessClock } from '@baobabwell/emulator';
import { Logger, LogLevel } from '@baobabwell/logging';
import { DaemonMetrics } from '@baobabwell/metrics';
import { Activity, ProcessorTime } from '@baobabwell/processor-time';

import { RuntimeTimes, startProcessorTimeReports } from '../../BaobabwellDaemonProcessorTime';

/** Times that a test sets. */
class GivenTimes extends RuntimeTimes {
  activeMs = 0;

  collectionMs = 0;

  override getActiveMs(): number {
    return this.activeMs;
  }

  override getCollectionMs(): number {
    return this.collectionMs;
  }
}

const REAL_TIME = /at=\S+ /;

describe('processor time reports', () => {
  let time: EmulatedTime;
  let metrics: DaemonMetrics;
  let processorTime: ProcessorTime;
  let spentMs: number;
  let runtime: GivenTimes;
  let lines: string[];
  let stop: Undo;

  beforeEach(() => {
    time = new EmulatedTime();
    metrics = new DaemonMetrics();
    spentMs = 0;
    runtime = new GivenTimes();
    processorTime = new ProcessorTime(() => spentMs);
    lines = [];
    const logger = new Logger(LogLevel.Info, {}, (line) => lines.push(line.replace(REAL_TIME, '')));
    const clock = new ProcessClock(time);
    stop = startProcessorTimeReports({ clock, logger, metrics, processorTime, runtime });
  });

  afterEach(() => stop());

  function spend(activity: Activity, ms: number): void {
    processorTime.measure(activity, () => {
      spentMs += ms;
      runtime.activeMs += ms;
    });
  }

  it('names the activities of a process that is busy for half of the time or more', async () => {
    spend(Activity.Reports, 300);
    spend(Activity.Placement, 100);
    spend(Activity.Placement, 50);
    runtime.activeMs += 90;
    runtime.collectionMs = 40;
    await time.advance(1_000);
    expect(lines).toEqual([
      'level=info event=processor-busy passedMs=1000 allMs=540 gcMs=40 placement=150/2 reports=300/1',
    ]);
  });

  it('counts the time of an idle process without a line', async () => {
    spend(Activity.Storage, 20);
    await time.advance(1_000);
    const { values } = await metrics.processorSeconds.get();
    expect(lines).toEqual([]);
    expect(values.map(({ labels, value }) => [labels.activity, value])).toEqual([
      ['all', 0.02],
      ['gc', 0],
      ['storage', 0.02],
    ]);
  });

  it('reports no more after it was stopped', async () => {
    stop();
    spend(Activity.Storage, 900);
    await time.advance(5_000);
    expect(lines).toEqual([]);
  });
});
