import { expect } from 'earl';

import { EmulatedTime } from '@baobabwell/emulator';
import { Deadline } from '@baobabwell/utils';

import { computeMaxReadsUnderWay, ReadLimiter } from '../../BaobabwellDaemonReadLimiter';

describe('ReadLimiter', () => {
  it('does not send reads whose callers left while they waited, and starts as many as a slower store needs', async () => {
    const time = new EmulatedTime();
    let maxUnderWay = 1;
    const limiter = new ReadLimiter({
      clock: time,
      getMaxUnderWay: () => maxUnderWay,
      getLatencyMs: () => 0,
      getSharePerS: () => Infinity,
    });
    const sent: string[] = [];
    const run = async (name: string, waitMs: number): Promise<string | null> =>
      limiter.run(new Deadline(time, waitMs), async () => {
        sent.push(`${name} ${time.getNow()}`);
        await time.wait(300);
        return name;
      });
    const reads = Promise.all([
      run('a', 1_000),
      run('gone', 200),
      run('b', 1_000),
      run('c', 1_000),
    ]);
    await time.advance(100);
    maxUnderWay = 2;
    const replies = await time.settle(reads, 2_000);
    expect(replies).toEqual(['a', null, 'b', 'c']);
    expect(sent).toEqual(['a 0', 'b 300', 'c 300']);
  });

  it('lets each process use its share of the rate of the store', () => {
    const compute = (processCount: number, latencyMs: number): number =>
      computeMaxReadsUnderWay({ readsPerS: 2_000, processCount, latencyMs });
    expect([compute(5, 4), compute(5, 280), compute(34, 280), compute(34, 0)]).toEqual([
      8, 64, 16, 8,
    ]);
  });
});
