import type { OfferReply } from '../../index';
import type { CallLimits, TableError, Transaction } from '@baobabwell/platform';
import type { Result } from '@baobabwell/utils';

import { expect } from 'earl';

import { EmulatedTime } from '@baobabwell/emulator';
import { EmulatedJobStore, EmulatedRows, NO_STORE_FAULTS } from '@baobabwell/job-emulator';
import { JobState } from '@baobabwell/jobs';
import { Logger, LogLevel } from '@baobabwell/logging';
import { TableErrorKind } from '@baobabwell/platform';
import { createError, Deadline, Random } from '@baobabwell/utils';

import { OpenCall } from '../../BaobabwellIngressOpenCall';
import { AnswerKind, JobSubmissionService, OwnerClient } from '../../index';

const SPEC = { payload: '', steps: [], repeat: null };
const QUEUE = {
  name: 'bakes',
  httpHost: 'bakery.example',
  pathPrefix: '/bakes/',
  pool: 'ovens',
  priority: 0,
  maxAttempts: 3,
  stretch: 1,
  targetLatencyMs: 0,
  isOpen: true,
  advice: null,
};

/** A store to which no call is sent after its deadline. */
class LimitedStore extends EmulatedJobStore {
  override async commit(
    transaction: Transaction,
    { deadline }: CallLimits = {},
  ): Promise<Result<number, TableError>> {
    return deadline?.hasPassed() === true
      ? createError({
          kind: TableErrorKind.Unavailable,
          mayHaveCommitted: false,
          cause: 'not sent',
        })
      : super.commit(transaction);
  }
}

class LateOwner extends OwnerClient {
  readonly #time: EmulatedTime;

  delayMs = 4;

  constructor(time: EmulatedTime) {
    super();
    this.#time = time;
  }

  override async offer(): Promise<OfferReply> {
    await this.#time.wait(this.delayMs);
    return { isWanted: true, refusals: [] };
  }

  override async findState(): Promise<JobState> {
    await this.#time.wait(this.delayMs);
    return JobState.Running;
  }

  override async countWaiting(): Promise<null> {
    return null;
  }
}

describe('JobSubmissionService beside a late owner', () => {
  let time: EmulatedTime;
  let owner: LateOwner;
  let service: JobSubmissionService;
  let rows: EmulatedRows;

  async function submit(id: string, waitMs: number): Promise<AnswerKind> {
    const call = new OpenCall(new Deadline(time, waitMs));
    return (await time.settle(service.submit(QUEUE, null, id, SPEC, call), 20_000)).kind;
  }

  beforeEach(() => {
    time = new EmulatedTime();
    owner = new LateOwner(time);
    rows = new EmulatedRows();
    service = new JobSubmissionService({
      store: new LimitedStore(time, time, new Random(1), rows),
      owner,
      clock: time,
      logger: new Logger(LogLevel.Error, {}, () => undefined),
      maxRowBytes: 65_536,
      getMaxUnofferedBytes: () => Infinity,
    });
  });

  it('stores jobs after others whose deadline passed before the store was asked', async () => {
    owner.delayMs = 1_000;
    const first = service.submit(
      QUEUE,
      null,
      '00000000000000a1',
      SPEC,
      new OpenCall(new Deadline(time, 600)),
    );
    const second = service.submit(
      QUEUE,
      null,
      '00000000000000a2',
      SPEC,
      new OpenCall(new Deadline(time, 600)),
    );
    await time.settle(Promise.all([first, second]), 20_000);
    owner.delayMs = 4;
    expect(await submit('00000000000000a3', 2_900)).toEqual(AnswerKind.Accepted);
  });

  it('reports no job as unknown that a late owner knows, although the store answers as of before', async () => {
    owner.delayMs = 600;
    const reading = service.readState('00000000000000a1', new Deadline(time, 2_900));
    expect(await time.settle(reading, 20_000)).toEqual({
      kind: AnswerKind.State,
      state: JobState.Running,
    });
  });

  // Guards against a process that refuses all submissions for good: the probe of a silent store never ended.
  it('stores jobs again after a call ended just before it would have probed a silent store', async () => {
    rows.faults = { ...NO_STORE_FAULTS, isDown: true };
    for (const number of [1, 2, 3]) {
      await submit(`00000000000000a${number}`, 2_900);
    }
    await time.advance(1_000);
    owner.delayMs = 1_000;
    expect(await submit('00000000000000a4', 600)).toEqual(AnswerKind.Unavailable);
    rows.faults = NO_STORE_FAULTS;
    owner.delayMs = 4;
    await time.advance(2_000);
    expect(await submit('00000000000000a5', 2_900)).toEqual(AnswerKind.Accepted);
  });
});
