import type { CallRecord, CallRequest } from './client';
import type { SoakDaemon } from './deployment';

import { setTimeout as wait } from 'node:timers/promises';

import { CALL_TIMEOUT_MS, CallEnd, KeptConnection } from './client';
import { createJobBody, createJobId, KEY, PREFIX, QUEUE_HOST, SoakSite } from './site';

const DAEMONS = 5;
const WORKERS = 9;
const WORK_MS = 200;
const CALM_MS = 2_000;
const DONE_MS = 30_000;
const POLL_MS = 20;
const PAUSE_MS = 6_000;
const RETRY_MS = 100;
const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** Number of jobs that are handed in at the same time. */
const SUBMITTERS = 20;

/** Time from the beginning of the trouble until the calls are sent, in ms. */
const AFTER_TROUBLE_MS = 300;

/** Number of jobs that are handed in, and of those that are cancelled, beside the trouble. */
const OTHER_CALLS = 60;

/** What happens to the owner. */
export enum OwnerTrouble {
  None = 'none',
  Pause = 'pause',
  Kill = 'kill',
  Stop = 'stop',
}

/** A trouble, and how many jobs there are. */
export type ReadsTrouble = {
  readonly owner: OwnerTrouble;
  readonly jobs: number;
  /** Time by which the store answers later, in ms. */
  readonly delayMs: number;
  /** Share of the store's answers that are lost. */
  readonly lostShare: number;
  readonly seed: number;
};

/** How the calls of a kind ended within the time for which their callers wait. */
export type CallsReport = {
  readonly asked: number;
  /** Number of answers with success; those to reads name a state. */
  readonly told: number;
  readonly refused: number;
  readonly other: number;
  readonly nothing: number;
  /** Median of the time from the sending until the answer, or until the caller gave up, in ms. */
  readonly p50Ms: number;
};

/** Reports of the calls that are not reads of states. */
export type OtherCallsReport = {
  readonly submissions: CallsReport;
  readonly cancels: CallsReport;
  readonly counts: CallsReport;
};

type TimedCall = CallRecord & { readonly tookMs: number };

function createRequest(method: string, jobId: string, body = ''): CallRequest {
  return { method, path: `${PREFIX}${jobId}`, body, pieces: 1, pauseMs: 0 };
}

async function call(daemon: SoakDaemon, request: CallRequest): Promise<TimedCall> {
  const connection = new KeptConnection(daemon);
  const record = await connection.call(request, QUEUE_HOST, KEY);
  connection.close();
  // Callers wait from the moment at which the request was sent, not from that of the connection.
  const waitsFromMs = Math.min(record.sentAtMs, record.endedAtMs);
  return { ...record, tookMs: record.endedAtMs - waitsFromMs };
}

/** Sends all calls at the same time, spread over the processes. */
async function callAll(
  daemons: readonly SoakDaemon[],
  requests: readonly CallRequest[],
): Promise<readonly TimedCall[]> {
  return Promise.all(
    requests.map(async (request, index) =>
      call(daemons[index % daemons.length] as SoakDaemon, request),
    ),
  );
}

function createReport(calls: readonly TimedCall[], isTold: (told: TimedCall) => boolean) {
  const answered = calls.filter(
    ({ end, tookMs }) => end === CallEnd.Answered && tookMs <= CALL_TIMEOUT_MS,
  );
  const told = answered.filter(isTold).length;
  const refused = answered.filter(({ status }) => status === HTTP_UNAVAILABLE).length;
  const times = calls.map(({ tookMs }) => tookMs).toSorted((left, right) => left - right);
  return {
    asked: calls.length,
    told,
    refused,
    other: answered.length - told - refused,
    nothing: calls.length - answered.length,
    p50Ms: Math.round(times[Math.floor(times.length / 2)] ?? 0),
  };
}

function hasSucceeded({ status }: TimedCall): boolean {
  return status === HTTP_OK;
}

function hasState({ status, body }: TimedCall): boolean {
  return status === HTTP_OK && typeof body['state'] === 'string';
}

/** A site whose accepted jobs are all done, and the trouble that befalls it then. */
class ReadsSite {
  readonly site: SoakSite;

  readonly accepted: string[] = [];

  readonly #trouble: ReadsTrouble;

  readonly #done = new Set<string>();

  constructor(trouble: ReadsTrouble) {
    this.#trouble = trouble;
    this.site = new SoakSite(trouble.seed);
  }

  async start(): Promise<void> {
    const recordEnd = (task: string, how: string): void => {
      if (how === 'done') {
        this.#done.add(task.split('.')[0] ?? '');
      }
    };
    const sizes = { daemons: DAEMONS, workers: WORKERS };
    await this.site.start(sizes, { recordStart: () => {}, recordEnd }, () => {});
    const { jobs } = this.#trouble;
    const ids = Array.from({ length: jobs }, (_, index) => createJobId(index + 1));
    await Promise.all(Array.from({ length: SUBMITTERS }, async () => this.#submitAll(ids)));
    const untilMs = performance.now() + DONE_MS;
    while (this.accepted.some((id) => !this.#done.has(id))) {
      if (performance.now() > untilMs) {
        throw new Error(`${this.#done.size} of ${this.accepted.length} jobs were done in time`);
      }
      await wait(POLL_MS);
    }
  }

  async #submitAll(ids: string[]): Promise<void> {
    const { daemons } = this.site;
    for (let id = ids.pop(); id !== undefined; id = ids.pop()) {
      const daemon = daemons[ids.length % daemons.length] as SoakDaemon;
      const request = createRequest('POST', id, createJobBody(1, WORK_MS));
      while (!hasSucceeded(await call(daemon, request))) {
        await wait(RETRY_MS);
      }
      this.accepted.push(id);
    }
  }

  /** Begins the trouble; returns the processes that still run code. */
  begin(): readonly SoakDaemon[] {
    const { owner: kind, delayMs, lostShare } = this.#trouble;
    const owner = this.site.findOwner();
    if (owner === null) {
      throw new Error('no process is the owner');
    }
    Object.assign(this.site.store, { delayMs, lostShare });
    switch (kind) {
      case OwnerTrouble.Pause:
        owner.pause();
        setTimeout(() => owner.resume(), PAUSE_MS).unref();
        break;
      case OwnerTrouble.Kill:
        owner.kill();
        break;
      case OwnerTrouble.Stop:
        owner.terminate();
        break;
      default:
    }
    const isSilent = kind === OwnerTrouble.Pause || kind === OwnerTrouble.Kill;
    return this.site.daemons.filter((daemon) => !isSilent || daemon !== owner);
  }
}

async function withSite<T>(
  trouble: ReadsTrouble,
  run: (site: ReadsSite) => Promise<T>,
): Promise<T> {
  const site = new ReadsSite(trouble);
  try {
    await site.start();
    return await run(site);
  } finally {
    await site.site.close();
  }
}

/** Asks for the state of every accepted job once, shortly after a trouble began. */
export async function runReads(trouble: ReadsTrouble): Promise<CallsReport> {
  return withSite(trouble, async (site) => {
    await wait(CALM_MS);
    const daemons = site.begin();
    await wait(AFTER_TROUBLE_MS);
    const requests = site.accepted.map((id) => createRequest('GET', id));
    return createReport(await callAll(daemons, requests), hasState);
  });
}

/** Hands in and cancels jobs, and asks for the count of waiting ones, shortly after a trouble began. */
export async function runOtherCalls(trouble: ReadsTrouble): Promise<OtherCallsReport> {
  return withSite(trouble, async (site) => {
    const first = trouble.jobs + 1;
    const ids = Array.from({ length: 2 * OTHER_CALLS }, (_, index) => createJobId(first + index));
    const [lasting, later] = [ids.slice(0, OTHER_CALLS), ids.slice(OTHER_CALLS)];
    await Promise.all(
      lasting.map(async (id) => site.site.submitUntilAccepted(id, createJobBody(1, null))),
    );
    await wait(CALM_MS);
    const daemons = site.begin();
    await wait(AFTER_TROUBLE_MS);
    const submissions = later.map((id) => createRequest('POST', id, createJobBody(1, WORK_MS)));
    const [submitted, cancelled, counted] = await Promise.all([
      callAll(daemons, submissions),
      callAll(
        daemons,
        lasting.map((id) => createRequest('DELETE', id)),
      ),
      callAll(
        daemons,
        lasting.map(() => createRequest('GET', '')),
      ),
    ]);
    return {
      submissions: createReport(submitted, hasSucceeded),
      cancels: createReport(cancelled, hasSucceeded),
      counts: createReport(counted, hasSucceeded),
    };
  });
}
