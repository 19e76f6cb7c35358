import type { JsonValue } from '@baobabwell/platform';

import { expect } from 'earl';

import { EmulatedTime } from '@baobabwell/emulator';
import { EmulatedJobStore, EmulatedRows } from '@baobabwell/job-emulator';
import { Logger, LogLevel } from '@baobabwell/logging';
import { Random } from '@baobabwell/utils';

import { Handover } from '../../BaobabwellControllerHandover';

const INTERVAL_MS = 1_000;

describe('Handover', () => {
  let time: EmulatedTime;
  let rows: EmulatedRows;
  let restored: (readonly [JsonValue, number])[];

  function createHandover(epoch: number): Handover {
    return new Handover({
      store: new EmulatedJobStore(time, time, new Random(1), rows),
      clock: time,
      logger: new Logger(LogLevel.Error, {}, () => {}),
      term: { epoch, startVersion: epoch, isHandover: false },
      signal: new AbortController().signal,
    });
  }

  function register(handover: Handover, name: string, save: () => JsonValue | null): void {
    handover.register({
      name,
      save,
      restore: (value, ageMs) => {
        restored.push([value, Math.round(ageMs)]);
      },
    });
  }

  async function load(handover: Handover): Promise<void> {
    void handover.load();
    await time.advance(100);
  }

  beforeEach(() => {
    time = new EmulatedTime();
    rows = new EmulatedRows();
    restored = [];
  });

  it('restores what the former owner stored, also in sections that register late', async () => {
    const former = createHandover(1);
    register(former, 'turns', () => [1, 2]);
    register(former, 'durations', () => 'long');
    await load(former);
    rows.apply({ conditions: [], writes: former.createWrites() });
    const storedAtMs = time.getNow();
    await time.advance(5_000);
    const next = createHandover(2);
    register(next, 'turns', () => null);
    await load(next);
    register(next, 'durations', () => null);
    const [[turns, turnsAgeMs] = [], [durations] = []] = restored;
    expect([turns, durations, restored.length]).toEqual([[1, 2], 'long', 2]);
    expect((turnsAgeMs ?? 0) > 4_900 && (turnsAgeMs ?? 0) <= time.getNow() - storedAtMs).toEqual(
      true,
    );
  });

  it('writes when something changed, at most once a second, and not before it has read', async () => {
    const handover = createHandover(1);
    let value = 1;
    register(handover, 'turns', () => value);
    expect(handover.createWrites()).toEqual([]);
    await load(handover);
    expect(handover.createWrites().length).toEqual(1);
    value = 2;
    expect(handover.createWrites()).toEqual([]);
    await time.advance(INTERVAL_MS);
    expect(handover.createWrites().length).toEqual(1);
    await time.advance(INTERVAL_MS);
    expect(handover.createWrites()).toEqual([]);
    handover.requestStore();
    await time.advance(INTERVAL_MS);
    expect(handover.createWrites().length).toEqual(1);
  });

  it('leaves out a section that is too long, and ignores a row that it cannot read', async () => {
    rows.apply({
      conditions: [],
      writes: [{ table: 'handover', key: 'state', value: { sections: 'none' } }],
    });
    const handover = createHandover(1);
    register(handover, 'long', () => 'x'.repeat(40_000));
    register(handover, 'short', () => 7);
    await load(handover);
    expect(restored).toEqual([]);
    const [write] = handover.createWrites();
    expect(write?.value).toEqual({
      epoch: 1,
      storedAtMs: time.getWallTime(),
      sections: { short: 7 },
    });
  });
});
