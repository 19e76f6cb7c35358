import type { ChangePage, RowRange, TableError } from '@baobabwell/platform';
import type { Result } from '@baobabwell/utils';

import { expect } from 'earl';

import { EmulatedTime } from '@baobabwell/emulator';
import { EmulatedJobStore, EmulatedRows, NO_TABLE_FAULTS } from '@baobabwell/job-emulator';
import { Logger, LogLevel } from '@baobabwell/logging';
import { ProcessorTime } from '@baobabwell/processor-time';
import { createError, Random, readClocks } from '@baobabwell/utils';

import { TermTables } from '../../BaobabwellControllerTermTables';

const SEED = 1;

/** Bytes of one answer, of the link in a millisecond, and time limit of a call, as on a slow link. */
const ANSWER_BYTES = 40_000;
const LINK_BYTES_PER_MS = 250;
const TIMEOUT_MS = 1_500;

const RANGES: readonly RowRange[] = Array.from({ length: 36 }, (_, index) => ({
  table: 'jobs',
  part: `p${index}`,
}));

/** A store whose open answers share one link. */
class SlowLinkStore extends EmulatedJobStore {
  requestCount = 0;

  readonly #time: EmulatedTime;

  #openCount = 0;

  constructor(time: EmulatedTime) {
    super(time, time, new Random(SEED), new EmulatedRows());
    this.#time = time;
  }

  override async list(range: RowRange): Promise<Result<ChangePage, TableError>> {
    this.requestCount += 1;
    this.#openCount += 1;
    const tookMs = (this.#openCount * ANSWER_BYTES) / LINK_BYTES_PER_MS;
    await this.#time.wait(Math.min(tookMs, TIMEOUT_MS));
    this.#openCount -= 1;
    const page = await super.list(range);
    return tookMs <= TIMEOUT_MS || !page.ok
      ? page
      : createError({ kind: 'unavailable', mayHaveCommitted: false, cause: 'late' } as TableError);
  }
}

describe('TermTables', () => {
  it('reads all ranges over a slow link without requesting one of them twice', async () => {
    const time = new EmulatedTime();
    const store = new SlowLinkStore(time);
    const { signal } = new AbortController();
    const logger = new Logger(LogLevel.Error, {}, () => undefined);
    const processorTime = new ProcessorTime(() => time.getNow());
    const tables = new TermTables({ store, clock: time, signal, logger, processorTime });
    const pages = await time.settle(tables.readAll(RANGES, 0), 30_000);
    expect([pages.length, store.requestCount]).toEqual([RANGES.length, RANGES.length]);
  });

  it('knows a watched table as of its latest answer, also without changes, and not while none comes', async () => {
    const time = new EmulatedTime();
    const store = new EmulatedJobStore(time, time, new Random(SEED), new EmulatedRows());
    const { signal } = new AbortController();
    const logger = new Logger(LogLevel.Error, {}, () => undefined);
    const processorTime = new ProcessorTime(() => time.getNow());
    const tables = new TermTables({ store, clock: time, signal, logger, processorTime });
    const requestedAt = readClocks(time);
    await time.advance(5_000);
    let rereadCount = 0;
    void tables.watch('hosts', { version: 0, requestedAt }, () => undefined, {
      rereadCompacted: async () => null,
      rereadUnwatched: async () => {
        rereadCount += 1;
        return null;
      },
    });
    expect(tables.getAgeMs('hosts')).toEqual(5_000);
    const ages: number[] = [];
    for (let round = 0; round < 100; round += 1) {
      await time.advance(50);
      ages.push(tables.getAgeMs('hosts'));
    }
    expect(Math.max(...ages) <= 1_100).toEqual(true);
    expect(rereadCount).toEqual(0);
    store.tableFaults.set('hosts', { ...NO_TABLE_FAULTS, hasSilentWatches: true });
    await time.advance(10_000);
    expect(tables.getAgeMs('hosts') >= 9_000).toEqual(true);
    expect(rereadCount > 1).toEqual(true);
    store.tableFaults.clear();
    await time.advance(3_000);
    expect(tables.getAgeMs('hosts') <= 1_100).toEqual(true);
  });
});
