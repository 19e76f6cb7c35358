import { expect } from 'earl';

import { EmulatedTime, ProcessClock } from '@baobabwell/emulator';

import { Deadline } from '../../index';

describe('Deadline', () => {
  it('limits timeouts to the time that is left', async () => {
    const time = new EmulatedTime();
    const deadline = new Deadline(new ProcessClock(time), 1_000);
    expect([deadline.limit(1_500), deadline.limit(400)]).toEqual([1_000, 400]);
    await time.advance(700);
    expect([deadline.limit(400), deadline.hasPassed()]).toEqual([300, false]);
    await time.advance(500);
    expect([deadline.getRemainingMs(), deadline.hasPassed()]).toEqual([0, true]);
  });
});
