import type { Undo } from '@baobabwell/kernel';

import { expect } from 'earl';

import { EmulatedTime, ProcessClock } from '@baobabwell/emulator';
import { Kernel } from '@baobabwell/kernel';
import { Logger, LogLevel } from '@baobabwell/logging';
import { DaemonMetrics } from '@baobabwell/metrics';

import {
  EventLoopDelay,
  eventLoopPlugin,
  startEventLoopMonitor,
} from '../../BaobabwellDaemonEventLoop';
import { LOGGER, METRICS } from '../../BaobabwellDaemonTokens';

const REAL_TIME = /at=\S+ /;

describe('event loop monitor', () => {
  let time: EmulatedTime;
  let clock: ProcessClock;
  let metrics: DaemonMetrics;
  let lines: string[];
  let delay: EventLoopDelay;
  let stop: Undo;

  beforeEach(() => {
    time = new EmulatedTime();
    clock = new ProcessClock(time);
    metrics = new DaemonMetrics();
    lines = [];
    const logger = new Logger(LogLevel.Info, {}, (line) => lines.push(line.replace(REAL_TIME, '')));
    delay = new EventLoopDelay();
    stop = startEventLoopMonitor({ clock, logger, metrics, delay });
  });

  afterEach(() => stop());

  /** Pauses the process, so that its next timer is late. */
  async function pause(durationMs: number): Promise<void> {
    clock.pause();
    await time.advance(durationMs);
    clock.resume();
    await time.advance(0);
  }

  async function countSamples(maxSeconds: string): Promise<number> {
    const { values } = await metrics.eventLoopDelaySeconds.get();
    return values.find(({ labels }) => String(labels.le) === maxSeconds)?.value ?? 0;
  }

  it('measures the delay of ten timers a second', async () => {
    await time.advance(1_000);
    expect(await countSamples('0.005')).toEqual(10);
    await pause(800);
    expect(await countSamples('0.5')).toEqual(10);
    expect(await countSamples('1')).toEqual(11);
  });

  it('logs a timer that is late by more than 200 ms, and no other', async () => {
    await time.advance(1_000);
    await pause(300);
    expect(lines).toEqual([]);
    await pause(301);
    expect(lines).toEqual(['level=warn event=event-loop-late delayMs=201']);
  });

  it('logs at most one line a second', async () => {
    await pause(700);
    await pause(700);
    expect(lines.length).toEqual(1);
    await pause(700);
    expect(lines.length).toEqual(2);
  });

  it('tells the longest delay since it was asked last, also of a timer that is still to run', async () => {
    await time.advance(1_000);
    await pause(400);
    await pause(250);
    expect(delay.takeLongestMs(clock.getNow())).toEqual(300);
    expect(delay.takeLongestMs(clock.getNow())).toEqual(0);
    expect(delay.takeLongestMs(clock.getNow() + 500)).toEqual(400);
  });

  it('measures no more after it was stopped', async () => {
    await time.advance(500);
    stop();
    await time.advance(5_000);
    expect(await countSamples('+Inf')).toEqual(5);
  });

  it('runs from the start to the close of the kernel', async () => {
    stop();
    const kernel = new Kernel(clock);
    kernel.registerService(METRICS, () => metrics);
    kernel.registerService(LOGGER, () => new Logger(LogLevel.Info, {}, () => undefined));
    kernel.use(eventLoopPlugin);
    await time.advance(300);
    await kernel.start();
    await time.advance(500);
    expect(await kernel.close()).toEqual([]);
    await time.advance(5_000);
    expect(await countSamples('+Inf')).toEqual(5);
  });
});
