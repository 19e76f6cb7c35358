import { expect } from 'earl';
import fc from 'fast-check';

import { EmulatedTime } from '@baobabwell/emulator';
import { Activity } from '@baobabwell/processor-time';

import {
  EmulatedProcessor,
  EmulatedProcessorTime,
  NO_PROCESSOR_COSTS,
  ProcessorClock,
} from '../../index';

const COST_MS = 30;
const COSTS = { ...NO_PROCESSOR_COSTS, startMs: COST_MS, activitiesMs: { holds: COST_MS } };

describe('the processor of an emulated process', () => {
  it('runs what is due one after the other, in order', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(
          fc.record({ atMs: fc.nat(200), costMs: fc.double({ min: 0, max: 40, noNaN: true }) }),
        ),
        async (items) => {
          const time = new EmulatedTime();
          const processor = new EmulatedProcessor(time, NO_PROCESSOR_COSTS);
          const clock = new ProcessorClock(time, processor);
          const sorted = items.toSorted((left, right) => left.atMs - right.atMs);
          const seen: { index: number; atMs: number }[] = [];
          sorted.forEach(({ atMs, costMs }, index) => {
            clock.startTimer(atMs, () => {
              seen.push({ index, atMs: processor.getNow() });
              processor.spend(costMs);
            });
          });
          await time.advance(200 + 40 * items.length + 1);
          let freeAtMs = 0;
          const expected = sorted.map(({ atMs, costMs }, index) => {
            const startMs = Math.max(atMs, freeAtMs);
            freeAtMs = startMs + costMs;
            return { index, atMs: startMs };
          });
          expect(seen.map(({ index }) => index)).toEqual(expected.map(({ index }) => index));
          seen.forEach((run, index) => {
            expect(Math.abs(run.atMs - (expected[index]?.atMs ?? 0))).toBeLessThan(1);
          });
        },
      ),
    );
  });

  it('takes a timer for late while it is busy, and counts the time', async () => {
    const time = new EmulatedTime();
    const processor = new EmulatedProcessor(time, COSTS);
    const clock = new ProcessorClock(time, processor);
    const processorTime = new EmulatedProcessorTime(processor);
    const ranAtMs: number[] = [];
    clock.startTimer(10, () => processorTime.measure(Activity.Holds, () => undefined));
    clock.startTimer(10, () => processor.spendOnStart());
    clock.startTimer(20, () => ranAtMs.push(time.getNow(), clock.getNow()));
    await time.advance(100);
    const lateMs = 10 + 2 * COST_MS;
    expect(ranAtMs).toEqual([lateMs, lateMs]);
    expect(processorTime.get(Activity.Holds)).toEqual({ spentMs: COST_MS, count: 1 });
  });

  it('runs nothing that was due before its process died', async () => {
    const time = new EmulatedTime();
    const processor = new EmulatedProcessor(time, COSTS);
    const clock = new ProcessorClock(time, processor);
    let count = 0;
    clock.startTimer(10, () => processor.spendOnStart());
    clock.startTimer(15, () => {
      count += 1;
    });
    await time.advance(20);
    clock.kill();
    await time.advance(100);
    expect(count).toEqual(0);
  });
});
