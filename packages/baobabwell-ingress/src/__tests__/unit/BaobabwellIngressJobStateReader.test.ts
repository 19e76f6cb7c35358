import type { Answer, OfferReply } from '../../index';
import type { CallLimits, ChangePage, RowRange, TableError } from '@baobabwell/platform';
import type { Result } from '@baobabwell/utils';

import { expect } from 'earl';

import { EmulatedTime } from '@baobabwell/emulator';
import { EmulatedJobStore, EmulatedRows, NO_STORE_FAULTS } from '@baobabwell/job-emulator';
import { JobState } from '@baobabwell/jobs';
import { Deadline, Random } from '@baobabwell/utils';

import { JobStateReader } from '../../BaobabwellIngressJobStateReader';
import { AnswerKind, getJobPartition, JOBS_TABLE, OwnerClient, PROGRESS_TABLE } from '../../index';

const WAIT_MS = 3_000;
const JOB = '00000000000000a1';

/** An owner that answers reads of states late; its other calls are not used. */
class LateOwner extends OwnerClient {
  state: JobState | null = null;

  delayMs = 4;

  askedCount = 0;

  readonly #time: EmulatedTime;

  constructor(time: EmulatedTime) {
    super();
    this.#time = time;
  }

  override async offer(): Promise<OfferReply | null> {
    return null;
  }

  override async findState(): Promise<JobState | null> {
    this.askedCount += 1;
    const { state } = this;
    await this.#time.wait(this.delayMs);
    return state;
  }

  override async countWaiting(): Promise<number | null> {
    return null;
  }
}

/** A store that counts reads. */
class CountingStore extends EmulatedJobStore {
  readCount = 0;

  override async list(
    range: RowRange,
    limits?: CallLimits,
  ): Promise<Result<ChangePage, TableError>> {
    this.readCount += limits === undefined ? 0 : 1;
    return super.list(range);
  }
}

describe('JobStateReader', () => {
  let time: EmulatedTime;
  let rows: EmulatedRows;
  let owner: LateOwner;
  let store: CountingStore;
  let reader: JobStateReader;

  async function read(): Promise<{ readonly answer: Answer | null; readonly tookMs: number }> {
    const startedAtMs = time.getNow();
    const reading = reader.read(JOB, new Deadline(time, WAIT_MS)).then((answer) => ({
      answer,
      tookMs: time.getNow() - startedAtMs,
    }));
    return time.settle(reading, 10_000);
  }

  function storeJob(state: JobState | null): void {
    const part = getJobPartition(JOB);
    const progress =
      state === null ? [] : [{ table: PROGRESS_TABLE, key: JOB, value: { state, steps: [] } }];
    rows.apply({
      conditions: [],
      writes: [{ table: JOBS_TABLE, part, key: JOB, value: 1 }, ...progress],
    });
  }

  beforeEach(() => {
    time = new EmulatedTime();
    rows = new EmulatedRows();
    owner = new LateOwner(time);
    store = new CountingStore(time, time, new Random(1), rows);
    reader = new JobStateReader({ store, owner, clock: time });
  });

  it('asks only the owner while it answers in time', async () => {
    owner.state = JobState.Running;
    const { answer } = await read();
    expect(answer).toEqual({ kind: AnswerKind.State, state: JobState.Running });
    expect(store.readCount).toEqual(0);
  });

  it('answers from the store after a share of the wait while the owner does not answer', async () => {
    owner.delayMs = 60_000;
    storeJob(null);
    const { answer, tookMs } = await read();
    expect(answer).toEqual({ kind: AnswerKind.State, state: JobState.Queued });
    expect([tookMs >= WAIT_MS / 10, tookMs <= WAIT_MS / 10 + 20]).toEqual([true, true]);
  });

  it('takes the answer of a late owner while the store answers later', async () => {
    owner.delayMs = 900;
    owner.state = JobState.Running;
    rows.faults = { ...NO_STORE_FAULTS, slowMs: 2_000 };
    const { answer, tookMs } = await read();
    expect(answer).toEqual({ kind: AnswerKind.State, state: JobState.Running });
    expect(tookMs).toEqual(900);
  });

  it('asks the store first for a while after the owner was late', async () => {
    owner.delayMs = 900;
    owner.state = JobState.Running;
    storeJob(null);
    await read();
    await time.advance(900);
    const { answer, tookMs } = await read();
    expect([owner.askedCount, answer?.kind, tookMs < 20]).toEqual([1, AnswerKind.State, true]);
    await time.advance(1_000);
    await read();
    expect(owner.askedCount).toEqual(2);
  });

  it('sends a late owner one read at a time', async () => {
    owner.delayMs = 200;
    owner.state = JobState.Running;
    storeJob(null);
    await read();
    await time.advance(600);
    const readings = Array.from({ length: 20 }, async () =>
      reader.read(JOB, new Deadline(time, WAIT_MS)),
    );
    await time.settle(Promise.all(readings), 10_000);
    expect(owner.askedCount).toEqual(2);
  });

  it('asks the owner first again once it answered in time', async () => {
    owner.delayMs = 200;
    owner.state = JobState.Running;
    storeJob(null);
    await read();
    owner.delayMs = 4;
    await time.advance(600);
    await read();
    store.readCount = 0;
    await Promise.all([read(), read()]);
    expect([owner.askedCount, store.readCount]).toEqual([4, 0]);
  });

  it('tells an unknown job from a store that does not answer', async () => {
    expect((await read()).answer).toEqual({ kind: AnswerKind.UnknownJob });
    rows.faults = { ...NO_STORE_FAULTS, isDown: true };
    expect((await read()).answer).toEqual(null);
  });
});
