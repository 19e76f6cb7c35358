/**
 * Load pattern: callers ask for the states of hundreds of jobs while the owner is late or gone and the store
 * answers late or loses answers. Each source by itself may not answer for longer than callers wait, so the
 * second one is asked beside the first. Reads must not add to the load of an owner that is late already.
 */
import type { Answer } from './BaobabwellIngressModel';
import type { OwnerClient } from './BaobabwellIngressOwner';
import type { WatchableTableService } from '@baobabwell/platform';
import type { Clock, Deadline } from '@baobabwell/utils';

import { isEnded, JobState, parseJobProgress } from '@baobabwell/jobs';

import { findJobRows } from './BaobabwellIngressJobRows';
import { AnswerKind } from './BaobabwellIngressModel';
import { PROGRESS_TABLE } from './BaobabwellIngressTables';

/** Share of the caller's time after which the second source is asked beside the first. */
const SECOND_SOURCE_SHARE = 0.1;

/** Time without an answer after which the owner counts as late, in ms; an idle one answers in a few. */
const LATE_OWNER_MS = 100;

/** Time after a late answer from which one read at a time tries the owner first again, in ms. */
const STORE_FIRST_MS = 500;

/** Asks one source; resolves to `null` when it does not know or does not answer. */
type Source = () => Promise<Answer | null>;

/**
 * Returns true for an answer that needs no other source. A job that one source does not know may be known to
 * the other one, which may be ahead of it.
 */
function isConclusive(answer: Answer | null): boolean {
  return answer !== null && answer.kind !== AnswerKind.UnknownJob;
}

/** Returns the first conclusive answer; once there is none, any other one. */
async function findFirst(answers: readonly Promise<Answer | null>[]): Promise<Answer | null> {
  return new Promise((resolve, reject) => {
    let openCount = answers.length;
    let inconclusive: Answer | null = null;
    answers.forEach((promise) => {
      promise.then((answer) => {
        openCount -= 1;
        if (isConclusive(answer)) {
          resolve(answer);
        }
        inconclusive ??= answer;
        if (openCount === 0) {
          resolve(inconclusive);
        }
      }, reject);
    });
  });
}

/** Reads the states of jobs from the owner and from the store. */
export class JobStateReader {
  readonly #store: WatchableTableService;

  readonly #owner: OwnerClient;

  readonly #clock: Clock;

  /** Monotonic time until which all reads ask the store first, in ms; `null` while the owner is not late. */
  #storeFirstUntilMs: number | null = null;

  /** True while a read waits for an owner that was late before. */
  #isTryingLateOwner = false;

  constructor(options: {
    readonly store: WatchableTableService;
    readonly owner: OwnerClient;
    readonly clock: Clock;
  }) {
    this.#store = options.store;
    this.#owner = options.owner;
    this.#clock = options.clock;
  }

  /** Reads the state of a job; returns `null` when neither source answers before the deadline. */
  async read(jobId: string, deadline: Deadline): Promise<Answer | null> {
    const askOwner = async (): Promise<Answer | null> => this.#askOwner(jobId, deadline);
    const readStored = async (): Promise<Answer | null> => this.#readStored(jobId, deadline);
    if (this.#storeFirstUntilMs === null) {
      return this.#readBoth(askOwner, readStored, deadline);
    }
    if (this.#isTryingLateOwner || this.#clock.getNow() < this.#storeFirstUntilMs) {
      return this.#readBoth(readStored, askOwner, deadline);
    }
    return this.#readBoth(async () => this.#tryLateOwner(askOwner), readStored, deadline);
  }

  async #tryLateOwner(askOwner: Source): Promise<Answer | null> {
    this.#isTryingLateOwner = true;
    try {
      return await askOwner();
    } finally {
      this.#isTryingLateOwner = false;
    }
  }

  /** Asks one source, and the other one once the first has no answer or is late. */
  async #readBoth(first: Source, second: Source, deadline: Deadline): Promise<Answer | null> {
    const waitStopped = new AbortController();
    const firstAnswer = first();
    const isLate = this.#clock
      .wait(deadline.getRemainingMs() * SECOND_SOURCE_SHARE, waitStopped.signal)
      .then((): true => true);
    const early = await Promise.race([firstAnswer, isLate]);
    waitStopped.abort();
    return early !== true && isConclusive(early) ? early : findFirst([firstAnswer, second()]);
  }

  async #askOwner(jobId: string, deadline: Deadline): Promise<Answer | null> {
    const askedAtMs = this.#clock.getNow();
    const state = await this.#owner.findState(jobId, deadline);
    const nowMs = this.#clock.getNow();
    this.#storeFirstUntilMs = nowMs - askedAtMs > LATE_OWNER_MS ? nowMs + STORE_FIRST_MS : null;
    return state === null ? null : { kind: AnswerKind.State, state };
  }

  /** Reads what is stored of a job; an end is known from its progress alone. */
  async #readStored(jobId: string, deadline: Deadline): Promise<Answer | null> {
    const rowsRead = findJobRows(this.#store, jobId, deadline);
    const read = await this.#store.read(PROGRESS_TABLE, jobId, { deadline });
    if (!read.ok) {
      return null;
    }
    const progress = read.value === null ? null : parseJobProgress(read.value.value);
    const state = progress?.state ?? JobState.Queued;
    if (isEnded(state)) {
      return { kind: AnswerKind.State, state };
    }
    const rows = await rowsRead;
    if (rows === null) {
      return null;
    }
    return rows.isStored
      ? { kind: AnswerKind.State, state: rows.isCancelled ? JobState.Cancelled : state }
      : { kind: AnswerKind.UnknownJob };
  }
}
