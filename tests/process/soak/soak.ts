import type { CallRecord, CallRequest } from './client';
import type { SoakDaemon } from './deployment';

import { setTimeout as wait } from 'node:timers/promises';

import { Random } from '@baobabwell/utils';

import { CallEnd, KeptConnection } from './client';
import { SoakJobs } from './jobs';
import { createConfiguration, createJobBody, createJobId, KEY, PREFIX, QUEUE_HOST } from './site';
import { SoakSite } from './site';

const DAEMONS = 5;
const WORKERS = 6;
const CLIENTS = 24;
const LASTING_TASKS = 12;
const LASTING_JOB = createJobId(1);
const START_MS = 20_000;

/** Time after which a cut request counts, in ms. */
const LOSS_SLACK_MS = 200;

/** Time after the end of the traffic by which every job has to be completed, in ms. */
const FINISH_MS = 14_000;

/** Time for which a new connection still reaches a process that was told to stop, in ms. */
const ROTATION_MS = 2_000;

/** Times by which the store answers later, in ms. */
const STORE_DELAYS_MS = [0, 272, 600];

/** Longest delay of the store beside which a takeover has to keep all leases, in ms. */
const MAX_TAKEOVER_DELAY_MS = 272;

/** Time for which a longer delay still excuses a lapsed lease, in ms. */
const DELAY_MEMORY_MS = 8_000;

const MAX_STOPPED = 2;

enum ClientRole {
  Reader,
  Submitter,
  SlowSubmitter,
  Canceller,
}

const ROLES = [
  ClientRole.Reader,
  ClientRole.Submitter,
  ClientRole.SlowSubmitter,
  ClientRole.Reader,
  ClientRole.SlowSubmitter,
  ClientRole.Canceller,
];

enum Trouble {
  Stop,
  StopTwo,
  Reload,
  ReloadAndStop,
  Configure,
  ConfigureAndStop,
  KillOwner,
}

const TROUBLES = [
  Trouble.Stop,
  Trouble.StopTwo,
  Trouble.Reload,
  Trouble.ReloadAndStop,
  Trouble.Configure,
  Trouble.ConfigureAndStop,
];

/** What one run showed. */
export type SoakReport = {
  readonly seed: number;
  readonly calls: Readonly<Record<CallEnd, number>>;
  readonly statuses: Readonly<Record<string, number>>;
  readonly stops: number;
  readonly reloads: number;
  readonly configurations: number;
  /** Longest time from the last byte of a request to the end of its connection without an answer, in ms. */
  readonly longestCutMs: number;
  readonly jobs: number;
  readonly cut: readonly string[];
  readonly jobsLost: readonly string[];
  readonly lapsed: readonly string[];
  readonly twice: readonly string[];
  readonly ended: readonly string[];
};

/** One seeded run of clients and an operator beside real processes. */
class Soak {
  readonly #random: Random;

  readonly #seed: number;

  readonly #site = new SoakSite();

  readonly #jobs = new SoakJobs();

  readonly #calls = { answered: 0, cut: 0, 'not-sent': 0, 'timed-out': 0 };

  readonly #statuses: Record<string, number> = {};

  readonly #cut: string[] = [];

  readonly #lapsed: string[] = [];

  readonly #twice: string[] = [];

  readonly #ended: string[] = [];

  readonly #killed = new Map<SoakDaemon, number>();

  #stops = 0;

  #reloads = 0;

  #version = 1;

  #nextJob = 2;

  #longestCutMs = 0;

  #slowUntilMs = -Infinity;

  #isOver = false;

  #startedAtMs = 0;

  constructor(seed: number) {
    this.#seed = seed;
    this.#random = new Random(seed);
  }

  async run(durationMs: number): Promise<SoakReport> {
    try {
      await this.#start();
      const clients = Array.from({ length: CLIENTS }, async (_, index) =>
        this.#runClient(ROLES[index % ROLES.length] ?? ClientRole.Reader, index),
      );
      await this.#runOperator(durationMs);
      this.#isOver = true;
      await Promise.all(clients);
      await this.#checkJobs();
      return this.#createReport();
    } finally {
      await this.#site.close();
    }
  }

  #createReport(): SoakReport {
    return {
      seed: this.#seed,
      calls: this.#calls,
      statuses: this.#statuses,
      stops: this.#stops,
      reloads: this.#reloads,
      configurations: this.#version - 1,
      longestCutMs: this.#longestCutMs,
      jobs: this.#jobs.list().length,
      cut: this.#cut,
      jobsLost: this.#jobs.broken,
      lapsed: this.#lapsed,
      twice: this.#twice,
      ended: this.#ended,
    };
  }

  async #start(): Promise<void> {
    const runs = {
      recordStart: (task: string, worker: string) => this.#recordStart(task, worker),
      recordEnd: (task: string, how: string) => this.#recordEnd(task, how),
    };
    await this.#site.start(
      { daemons: DAEMONS, workers: WORKERS },
      runs,
      (name, isPlanned, description) => {
        if (!isPlanned) {
          this.#ended.push(`${this.#formatNow()} ${name} ended by itself: ${description}`);
        }
      },
    );
    this.#startedAtMs = performance.now();
    await this.#site.submitUntilAccepted(LASTING_JOB, createJobBody(LASTING_TASKS, null));
    if (!(await this.#site.waitForRuns(LASTING_JOB, LASTING_TASKS, START_MS))) {
      throw new Error('the job never ran');
    }
  }

  #formatNow(): string {
    return `${Math.round(performance.now() - this.#startedAtMs)} ms`;
  }

  #recordStart(task: string, worker: string): void {
    const others = this.#site.workers.filter(({ id, runs }) => id !== worker && runs.has(task));
    others.forEach(({ id }) =>
      this.#twice.push(`${this.#formatNow()} ${task} runs on ${id} and ${worker}`),
    );
  }

  #recordEnd(task: string, how: string): void {
    if (how === 'lapsed' && performance.now() > this.#slowUntilMs) {
      this.#lapsed.push(`${this.#formatNow()} ${task}`);
    }
  }

  async #runOperator(durationMs: number): Promise<void> {
    const untilMs = performance.now() + durationMs;
    let canKill = this.#random.getInteger(2) === 0;
    while (performance.now() < untilMs) {
      await wait(100 + this.#random.getInteger(1_400));
      if (this.#random.getInteger(3) === 0) {
        this.#setStoreDelay(this.#random.getOneOf(STORE_DELAYS_MS));
      }
      const shouldKill = canKill && this.#random.getInteger(8) === 0;
      canKill &&= !shouldKill;
      this.#disturb(shouldKill ? Trouble.KillOwner : this.#random.getOneOf(TROUBLES));
    }
    this.#setStoreDelay(0);
  }

  #setStoreDelay(delayMs: number): void {
    const { store } = this.#site;
    const isLong = Math.max(store.delayMs, delayMs) > MAX_TAKEOVER_DELAY_MS;
    store.delayMs = delayMs;
    if (isLong) {
      this.#slowUntilMs =
        delayMs > MAX_TAKEOVER_DELAY_MS ? Infinity : performance.now() + DELAY_MEMORY_MS;
    }
  }

  #disturb(trouble: Trouble): void {
    if ([Trouble.Configure, Trouble.ConfigureAndStop].includes(trouble)) {
      this.#version += 1;
      this.#site.store.put('op', 'config', createConfiguration(this.#version));
    }
    const daemon = this.#random.getOneOf(this.#site.daemons);
    if ([Trouble.Reload, Trouble.ReloadAndStop].includes(trouble)) {
      this.#reloads += 1;
      daemon.reload();
    }
    if (
      [Trouble.Stop, Trouble.StopTwo, Trouble.ReloadAndStop, Trouble.ConfigureAndStop].includes(
        trouble,
      )
    ) {
      this.#stop(daemon);
    }
    if (trouble === Trouble.StopTwo) {
      this.#stop(this.#random.getOneOf(this.#site.daemons));
    }
    if (trouble === Trouble.KillOwner) {
      const owner = this.#site.findOwner();
      if (owner?.isCalm() === true) {
        this.#killed.set(owner, performance.now());
        owner.kill();
      }
    }
  }

  #stop(daemon: SoakDaemon): void {
    const stopped = this.#site.daemons.filter((other) => !other.isCalm()).length;
    if (daemon.isCalm() && stopped < MAX_STOPPED) {
      this.#stops += 1;
      daemon.terminate();
    }
  }

  /** Chooses a process as the platform does: it learns late that one stops. */
  #chooseDaemon(random: Random): SoakDaemon {
    const nowMs = performance.now();
    const inRotation = this.#site.daemons.filter(
      (daemon) => daemon.isCalm() || (daemon.isUp() && nowMs < daemon.stoppedAtMs + ROTATION_MS),
    );
    return random.getOneOf(inRotation);
  }

  /** Uses one connection until its process ends it, then another one. */
  async #runClient(role: ClientRole, index: number): Promise<void> {
    const random = new Random(this.#seed * CLIENTS + index);
    while (!this.#isOver) {
      const daemon = this.#chooseDaemon(random);
      const connection = new KeptConnection(daemon);
      let isKept = true;
      while (isKept && !this.#isOver) {
        const { end } = await this.#call(role, random, connection, daemon);
        isKept = end === CallEnd.Answered && connection.isOpen();
        await wait(5 + random.getInteger(120));
      }
      connection.close();
    }
  }

  async #call(
    role: ClientRole,
    random: Random,
    connection: KeptConnection,
    daemon: SoakDaemon,
  ): Promise<CallRecord> {
    switch (role) {
      case ClientRole.Submitter:
      case ClientRole.SlowSubmitter: {
        const id = createJobId(this.#nextJob);
        this.#nextJob += 1;
        const body = createJobBody(1 + random.getInteger(3), 100 + random.getInteger(700));
        const isSlow = role === ClientRole.SlowSubmitter;
        const pieces = isSlow ? 2 + random.getInteger(5) : 1;
        const pauseMs = 20 + random.getInteger(500);
        const request = { method: 'POST', path: `${PREFIX}${id}`, body, pieces, pauseMs };
        const reply = await this.#send(request, connection, daemon);
        this.#jobs.recordSubmission(id, reply);
        return reply;
      }
      default: {
        const shouldCancel = role === ClientRole.Canceller && random.getInteger(2) === 0;
        const id = random.getOneOf(this.#jobs.list())?.id ?? LASTING_JOB;
        const method = shouldCancel && id !== LASTING_JOB ? 'DELETE' : 'GET';
        if (method === 'DELETE') {
          this.#jobs.recordCancelling(id);
        }
        const request = { method, path: `${PREFIX}${id}`, body: '', pieces: 1, pauseMs: 0 };
        const reply = await this.#send(request, connection, daemon);
        if (method === 'GET') {
          this.#jobs.recordState(id, reply);
        }
        return reply;
      }
    }
  }

  async #send(
    request: CallRequest,
    connection: KeptConnection,
    daemon: SoakDaemon,
  ): Promise<CallRecord> {
    const reply = await connection.call(request, QUEUE_HOST, KEY);
    this.#calls[reply.end] += 1;
    const status = reply.end === CallEnd.Answered ? String(reply.status) : reply.end;
    this.#statuses[status] = (this.#statuses[status] ?? 0) + 1;
    const wasKilled = (this.#killed.get(daemon) ?? Infinity) <= reply.endedAtMs;
    if (reply.end === CallEnd.Cut && !wasKilled) {
      const afterMs = Math.round(reply.endedAtMs - reply.sentAtMs);
      this.#longestCutMs = Math.max(this.#longestCutMs, afterMs);
      if (afterMs > LOSS_SLACK_MS) {
        const sinceStopMs = Math.round(reply.endedAtMs - daemon.stoppedAtMs);
        this.#cut.push(
          `${this.#formatNow()} ${request.method} in ${request.pieces} pieces at ${daemon.name}, cut ${afterMs} ms after` +
            ` its last byte, ${sinceStopMs} ms after SIGTERM, store later by ${this.#site.store.delayMs} ms`,
        );
      }
    }
    return reply;
  }

  /** Checks after the end of the traffic that every accepted job is known and was run. */
  async #checkJobs(): Promise<void> {
    const untilMs = performance.now() + FINISH_MS;
    const pollMs = 200;
    const listOpen = (): readonly string[] =>
      this.#jobs
        .list()
        .filter(({ isCancelled, isCompleted }) => !isCancelled && !isCompleted)
        .map(({ id }) => id);
    while (listOpen().length > 0 && performance.now() < untilMs) {
      const connection = new KeptConnection(this.#chooseDaemon(this.#random));
      for (const id of listOpen()) {
        const request = { method: 'GET', path: `${PREFIX}${id}`, body: '', pieces: 1, pauseMs: 0 };
        this.#jobs.recordState(id, await connection.call(request, QUEUE_HOST, KEY));
      }
      connection.close();
      await wait(pollMs);
    }
    listOpen().forEach((id) =>
      this.#jobs.broken.push(`job ${id} is not completed ${FINISH_MS} ms after the traffic`),
    );
    const leftMs = Math.max(1, untilMs - performance.now());
    if (!(await this.#site.waitForRuns(LASTING_JOB, LASTING_TASKS, leftMs))) {
      const count = this.#site.countRuns(LASTING_JOB);
      this.#jobs.broken.push(`${count} of ${LASTING_TASKS} lasting tasks run at the end`);
    }
  }
}

/** Runs clients and an operator of a seed beside real processes, and reports what they saw. */
export async function runSoak(seed: number, durationMs: number): Promise<SoakReport> {
  return new Soak(seed).run(durationMs);
}
