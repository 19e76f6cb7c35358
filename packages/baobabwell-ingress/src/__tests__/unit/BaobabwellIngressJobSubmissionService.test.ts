import type { OfferReply } from '../../index';
import type { JobRecord } from '@baobabwell/jobs';
import type { Transaction } from '@baobabwell/platform';

import { expect } from 'earl';

import { EmulatedTime } from '@baobabwell/emulator';
import {
  EmulatedJobStore,
  EmulatedRows,
  NO_STORE_FAULTS,
  PLAIN_STEP,
} from '@baobabwell/job-emulator';
import { estimateJobBytes, JobState } from '@baobabwell/jobs';
import { Logger, LogLevel } from '@baobabwell/logging';
import { Deadline, Random } from '@baobabwell/utils';

import { OpenCall } from '../../BaobabwellIngressOpenCall';
import {
  AnswerKind,
  computeDemand,
  findQueue,
  JobSubmissionService,
  OwnerClient,
} from '../../index';

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

/** Longest time for which the callers of these tests wait, in ms. */
const WAIT_MS = 20_000;

class ScriptedOwner extends OwnerClient {
  readonly #offer: OfferReply | null;

  constructor(offer: OfferReply | null) {
    super();
    this.#offer = offer;
  }

  override async offer(_job: JobRecord): Promise<OfferReply | null> {
    return this.#offer;
  }

  override async findState(): Promise<JobState | null> {
    return null;
  }

  override async countWaiting(): Promise<number | null> {
    return null;
  }
}

describe('JobSubmissionService', () => {
  let time: EmulatedTime;
  let rows: EmulatedRows;
  let maxUnofferedBytes: number;

  function createService(
    offer: OfferReply | null = { isWanted: true, refusals: [] },
  ): JobSubmissionService {
    return new JobSubmissionService({
      store: new EmulatedJobStore(time, time, new Random(1), rows),
      owner: new ScriptedOwner(offer),
      clock: time,
      logger: new Logger(LogLevel.Error, {}, () => undefined),
      maxRowBytes: 65_536,
      getMaxUnofferedBytes: () => maxUnofferedBytes,
    });
  }

  function createDeadline(waitMs = WAIT_MS): Deadline {
    return new Deadline(time, waitMs);
  }

  function createCall(waitMs = WAIT_MS): OpenCall {
    return new OpenCall(createDeadline(waitMs));
  }

  async function submit(
    service: JobSubmissionService,
    id = '00000000000000a1',
  ): Promise<AnswerKind> {
    return (await time.settle(service.submit(QUEUE, null, id, SPEC, createCall()), 20_000)).kind;
  }

  async function readState(id: string): Promise<AnswerKind> {
    return (await time.settle(createService().readState(id, createDeadline()), 20_000)).kind;
  }

  beforeEach(() => {
    time = new EmulatedTime();
    rows = new EmulatedRows();
    maxUnofferedBytes = Infinity;
  });

  it('accepts a job once it is stored, and accepts its repeated submission', async () => {
    expect(await submit(createService())).toEqual(AnswerKind.Accepted);
    expect(await submit(createService())).toEqual(AnswerKind.Accepted);
    expect(await readState('00000000000000a1')).toEqual(AnswerKind.State);
  });

  it('accepts a job while there is no owner', async () => {
    expect(await submit(createService(null))).toEqual(AnswerKind.Accepted);
  });

  // Guards against an owner that ends for want of memory: nobody sums what is stored without an owner.
  it('refuses what a later owner may lack memory for while none answers, and nothing that is stored', async () => {
    maxUnofferedBytes = 2 * estimateJobBytes(SPEC);
    const service = createService(null);
    const ids = [1, 2, 3].map((number) => `00000000000000a${number}`);
    const answers: AnswerKind[] = [];
    for (const id of [...ids, ids[0] ?? '']) {
      answers.push(await submit(service, id));
    }
    expect(answers).toEqual([
      AnswerKind.Accepted,
      AnswerKind.Accepted,
      AnswerKind.Unavailable,
      AnswerKind.Accepted,
    ]);
    expect(await readState(ids[2] ?? '')).toEqual(AnswerKind.UnknownJob);
  });

  // Guards against a job that gets 504 for ever: the store takes no row that is so long.
  it('refuses a job whose row the store would not take, and tells that it never fits', async () => {
    const submitSteps = async (count: number) => {
      const spec = { ...SPEC, steps: Array.from({ length: count }, () => PLAIN_STEP) };
      const submitting = createService().submit(
        QUEUE,
        null,
        '00000000000000b1',
        spec,
        createCall(),
      );
      return time.settle(submitting, 20_000);
    };
    const refused = await submitSteps(400);
    expect(refused.kind === AnswerKind.Refused && refused.reason.includes('never fits')).toEqual(
      true,
    );
    expect((await submitSteps(150)).kind).toEqual(AnswerKind.Accepted);
  });

  it('does not store a refused job', async () => {
    const refusal = { isWanted: false, reason: 'full', retryAfterMs: 1_000, refusals: [] } as const;
    expect(await submit(createService(refusal))).toEqual(AnswerKind.Refused);
    expect(await readState('00000000000000a1')).toEqual(AnswerKind.UnknownJob);
  });

  it('never reports a job as not run if its commit succeeded but the reply was lost', async () => {
    rows.faults = { ...NO_STORE_FAULTS, lostFraction: 1 };
    const answers: AnswerKind[] = [];
    for (let index = 0; index < 20; index += 1) {
      answers.push(await submit(createService(), `000000000000${(0xa000 + index).toString(16)}`));
    }
    const allowed = [AnswerKind.Accepted, AnswerKind.UnknownOutcome];
    expect(answers.every((answer) => allowed.includes(answer))).toEqual(true);
  });

  it('never reports a job as not run that an earlier call may have stored', async () => {
    const service = createService();
    rows.faults = { ...NO_STORE_FAULTS, lostFraction: 1 };
    const first = await time.settle(
      service.submit(QUEUE, null, '00000000000000a1', SPEC, createCall(300)),
      20_000,
    );
    expect(first.kind).toEqual(AnswerKind.UnknownOutcome);
    rows.faults = { ...NO_STORE_FAULTS, isDown: true };
    expect(await submit(service)).toEqual(AnswerKind.UnknownOutcome);
    expect(await submit(service, '00000000000000a2')).toEqual(AnswerKind.Unavailable);
  });

  it('stores a cancellation again while no answer arrives', async () => {
    await submit(createService());
    rows.faults = { ...NO_STORE_FAULTS, lostFraction: 1 };
    const cancelling = createService().cancel('00000000000000a1', createCall());
    await time.advance(700);
    rows.faults = NO_STORE_FAULTS;
    expect((await time.settle(cancelling, 20_000)).kind).toEqual(AnswerKind.Cancelled);
  });

  it('reports a job as not run when the store refuses the commit', async () => {
    rows.faults = { ...NO_STORE_FAULTS, isDown: true };
    expect(await submit(createService())).toEqual(AnswerKind.Unavailable);
  });

  it('refuses at once what the owner refused a like job for, but accepts what is stored', async () => {
    const refused = computeDemand(
      { id: 'b', queue: QUEUE.name, organisation: null, acceptedAtMs: 0, spec: SPEC },
      QUEUE,
    );
    expect(refused !== null).toEqual(true);
    const refusals =
      refused === null
        ? []
        : [{ ...refused, laxityMs: refused.laxityMs + 300, retryAfterMs: 700, ageMs: 0 }];
    const service = createService({ isWanted: true, refusals });
    expect(await submit(service)).toEqual(AnswerKind.Accepted);
    expect(await submit(service, '00000000000000a2')).toEqual(AnswerKind.Refused);
    expect(await submit(service)).toEqual(AnswerKind.Accepted);
    expect(await readState('00000000000000a2')).toEqual(AnswerKind.UnknownJob);
    // The work ahead shrinks: a refusal covers no job that leaves more time than is still missing.
    await time.advance(400);
    expect(await submit(service, '00000000000000a3')).toEqual(AnswerKind.Accepted);
  });

  it('waits for a silent store twice, then answers at once until a probe is answered', async () => {
    rows.faults = { ...NO_STORE_FAULTS, isDown: true };
    const service = createService();
    await submit(service);
    await submit(service);
    const calls = Array.from({ length: 5 }, async (_, index) =>
      service.submit(QUEUE, null, `00000000000000c${index}`, SPEC, createCall()),
    );
    const answers = await time.settle(Promise.all(calls), 20);
    expect(answers.map(({ kind }) => kind)).toEqual(answers.map(() => AnswerKind.Unavailable));
    rows.faults = NO_STORE_FAULTS;
    await time.advance(300);
    expect(await submit(service)).toEqual(AnswerKind.Accepted);
    expect(await submit(service, '00000000000000a2')).toEqual(AnswerKind.Accepted);
  });

  it('cancels a stored job and reports any other as unknown', async () => {
    await submit(createService());
    const cancelled = await time.settle(
      createService().cancel('00000000000000a1', createCall()),
      20_000,
    );
    expect(cancelled.kind).toEqual(AnswerKind.Cancelled);
    const unknown = await time.settle(
      createService().cancel('00000000000000b2', createCall()),
      20_000,
    );
    expect(unknown.kind).toEqual(AnswerKind.UnknownJob);
  });

  it('reports a job as cancelled that was stored after its cancellation was answered', async () => {
    const id = '00000000000000a1';
    rows.faults = { ...NO_STORE_FAULTS, lostFraction: 1 };
    await submit(createService(), id);
    const [submission] = rows.unanswered as [Transaction];
    // The store has not applied the submission when the caller cancels it.
    rows = new EmulatedRows();
    const cancelled = await time.settle(createService().cancel(id, createCall()), 20_000);
    expect(cancelled.kind).toEqual(AnswerKind.UnknownJob);
    expect(rows.apply(submission)).toEqual(null);
    const answer = await time.settle(createService().readState(id, createDeadline()), 20_000);
    expect(answer).toEqual({ kind: AnswerKind.State, state: JobState.Cancelled });
  });

  it('acknowledges no cancellation of an unknown job that may not have been stored', async () => {
    rows.faults = { ...NO_STORE_FAULTS, lostFraction: 1 };
    const answer = await time.settle(
      createService().cancel('00000000000000a1', createCall()),
      20_000,
    );
    expect(answer.kind).toEqual(AnswerKind.UnknownOutcome);
  });

  it('finds the queue with the longest matching prefix on the host', () => {
    const inner = { ...QUEUE, name: 'inner', pathPrefix: '/bakes/rye/' };
    const other = { ...QUEUE, name: 'other', httpHost: 'elsewhere.example' };
    const routed = findQueue([QUEUE, inner, other], 'bakery.example', '/bakes/rye/a1');
    expect([routed?.queue.name, routed?.remainingPath]).toEqual(['inner', 'a1']);
    expect(findQueue([QUEUE], 'bakery.example', '/cakes/a1')).toEqual(null);
  });
});
