import { expect } from 'earl';
import { getEventListeners } from 'node:events';

import { EmulatedTime } from '@baobabwell/emulator';

import { WakeSignal } from '../../index';

const LONG_MS = 60_000;

describe('WakeSignal', () => {
  let time: EmulatedTime;
  let aborting: AbortController;
  let wakeSignal: WakeSignal;
  let endedWaits: number;

  beforeEach(() => {
    time = new EmulatedTime();
    aborting = new AbortController();
    wakeSignal = new WakeSignal(time);
    endedWaits = 0;
  });

  async function startWait(): Promise<void> {
    void wakeSignal.wait(LONG_MS, aborting.signal).then(() => {
      endedWaits += 1;
    });
    await time.advance(0);
  }

  it('ends a wait in time, on notification and on abort', async () => {
    await startWait();
    await time.advance(LONG_MS);
    expect(endedWaits).toEqual(1);
    await startWait();
    wakeSignal.notify();
    await time.advance(0);
    expect(endedWaits).toEqual(2);
    await startWait();
    aborting.abort();
    await time.advance(0);
    expect(endedWaits).toEqual(3);
  });

  it('listens once to the signal of many waits, and no more once it is closed', async () => {
    for (let count = 0; count < 20; count += 1) {
      await startWait();
      wakeSignal.notify();
      await time.advance(0);
    }
    expect(getEventListeners(aborting.signal, 'abort').length).toEqual(1);
    await startWait();
    wakeSignal.close();
    await time.advance(0);
    expect(endedWaits).toEqual(21);
    expect(getEventListeners(aborting.signal, 'abort').length).toEqual(0);
  });
});
