/** Processes beside a crowd of clients, and what the crowd made of them. */
import type { SoakDaemon } from '../soak/deployment';
import type { CrowdKind } from './kinds';
import type { ChildProcess } from 'node:child_process';

import { fork } from 'node:child_process';
import { once } from 'node:events';
import { readdir, readFile } from 'node:fs/promises';
import { setTimeout as wait } from 'node:timers/promises';

import { KeptConnection } from '../soak/client';
import { createJobBody, createJobId, KEY, PREFIX, QUEUE_HOST, SoakSite } from '../soak/site';

const DAEMONS = 3;
const WORKERS = 3;
const OWNER_MS = 10_000;
const POLL_MS = 20;
const BYTES_PER_KB = 1_024;
const BYTES_PER_MB = BYTES_PER_KB * BYTES_PER_KB;
const HTTP_OK = 200;
const RETRY_MS = 100;

/** Longest time that a crowd stays, in ms. */
const MAX_CROWD_MS = 60_000;

/** Time for which a crowd is left alone before an ordinary call, in ms. */
const PRESS_MS = 3_000;

/** Time for which an ordinary caller tries again until it is answered, in ms. */
const ORDINARY_MS = 25_000;

const ORDINARY_TASK_MS = 50;

/** Limits of the machines beside a crowd, lower than those of any deployment. */
export const CROWDED_MACHINE = { 'memory-mb': 200, 'max-fds': 400 };

/** Which processes a crowd talks to. */
export enum CrowdTarget {
  Other,
  Owner,
  All,
}

/** What is asked of every process and caller beside a crowd. */
export type CrowdReport = {
  /** How processes ended that were not told to. */
  readonly ended: readonly string[];
  readonly hasMemoryLeft: boolean;
  readonly hasDescriptorsLeft: boolean;
  readonly isAnsweredBeside: boolean;
  readonly isAnsweredAfterwards: boolean;
};

/** The report that is asked for. */
export const HELD: CrowdReport = {
  ended: [],
  hasMemoryLeft: true,
  hasDescriptorsLeft: true,
  isAnsweredBeside: true,
  isAnsweredAfterwards: true,
};

async function readPeakBytes(id: number): Promise<number> {
  const text = await readFile(`/proc/${id}/status`, 'utf8');
  return Number(/^VmHWM:\s+(\d+)/m.exec(text)?.[1] ?? 0) * BYTES_PER_KB;
}

/** Small processes, a store, workers, and a crowd beside them. */
export class CrowdSite {
  readonly site = new SoakSite();

  peakBytes = 0;

  peakDescriptors = 0;

  readonly #ended: string[] = [];

  readonly #crowds: ChildProcess[] = [];

  #nextJob = 1;

  #isOver = false;

  async start(): Promise<void> {
    await this.site.start(
      { daemons: DAEMONS, workers: WORKERS, machine: CROWDED_MACHINE },
      { recordStart: () => {}, recordEnd: () => {} },
      (name, isPlanned, end) => {
        if (!isPlanned) {
          this.#ended.push(`${name}: ${end}`);
        }
      },
    );
    const untilMs = performance.now() + OWNER_MS;
    while (this.site.findOwner() === null && performance.now() < untilMs) {
      await wait(POLL_MS);
    }
    void this.#watch();
  }

  async close(): Promise<void> {
    this.#isOver = true;
    await this.endCrowds();
    await this.site.close();
  }

  listTargets(target: CrowdTarget): readonly SoakDaemon[] {
    const owner = this.site.findOwner();
    return this.site.daemons.filter(
      (daemon) =>
        target === CrowdTarget.All || (daemon === owner) === (target === CrowdTarget.Owner),
    );
  }

  /** Starts a crowd beside each of some processes. */
  startCrowd(kind: CrowdKind, connections: number, daemons: readonly SoakDaemon[]): void {
    daemons.forEach(({ host, port }) => {
      const values = [kind, host, port, connections, MAX_CROWD_MS].map(String);
      const crowd = fork('tests/process/crowd/run.ts', values, { execArgv: ['--import', 'tsx'] });
      this.#crowds.push(crowd);
    });
  }

  async endCrowds(): Promise<void> {
    const crowds = this.#crowds.splice(0);
    await Promise.all(
      crowds.map(async (crowd) => {
        if (crowd.exitCode === null && crowd.signalCode === null) {
          const ended = once(crowd, 'exit');
          crowd.kill('SIGKILL');
          await ended;
        }
      }),
    );
  }

  /** Submits a small job as ordinary callers do, again until it is accepted or the time is over. */
  async isOrdinaryAnswered({ host, port }: SoakDaemon, prefix = PREFIX): Promise<boolean> {
    const path = `${prefix}${createJobId(this.#nextJob)}`;
    this.#nextJob += 1;
    const body = createJobBody(1, ORDINARY_TASK_MS);
    const untilMs = performance.now() + ORDINARY_MS;
    while (performance.now() < untilMs) {
      const connection = new KeptConnection({ host, port });
      const call = { method: 'POST', path, body, pieces: 1, pauseMs: 0 };
      const { status } = await connection.call(call, QUEUE_HOST, KEY);
      connection.close();
      if (status === HTTP_OK) {
        return true;
      }
      await wait(RETRY_MS);
    }
    return false;
  }

  /** Runs a crowd beside processes, with ordinary calls in its middle and afterwards. */
  async run(kind: CrowdKind, connections: number, target: CrowdTarget): Promise<CrowdReport> {
    const targets = this.listTargets(target).slice(0, target === CrowdTarget.All ? DAEMONS : 1);
    this.startCrowd(kind, connections, targets);
    await wait(PRESS_MS);
    const isAnsweredBeside = await this.#areAnswered(targets);
    await this.endCrowds();
    return this.report(isAnsweredBeside, await this.#areAnswered(targets));
  }

  report(isAnsweredBeside: boolean, isAnsweredAfterwards: boolean): CrowdReport {
    return {
      ended: this.#ended,
      hasMemoryLeft: this.peakBytes <= CROWDED_MACHINE['memory-mb'] * BYTES_PER_MB,
      hasDescriptorsLeft: this.peakDescriptors <= CROWDED_MACHINE['max-fds'],
      isAnsweredBeside,
      isAnsweredAfterwards,
    };
  }

  async #areAnswered(daemons: readonly SoakDaemon[]): Promise<boolean> {
    const answers = await Promise.all(daemons.map(async (each) => this.isOrdinaryAnswered(each)));
    return answers.every(Boolean);
  }

  async #watch(): Promise<void> {
    while (!this.#isOver) {
      await Promise.all(this.site.daemons.map(async (daemon) => this.#measure(daemon)));
      await wait(POLL_MS);
    }
  }

  async #measure(daemon: SoakDaemon): Promise<void> {
    const id = daemon.getProcessId();
    if (id === null || !daemon.isUp()) {
      return;
    }
    try {
      const [bytes, files] = await Promise.all([readPeakBytes(id), readdir(`/proc/${id}/fd`)]);
      this.peakBytes = Math.max(this.peakBytes, bytes);
      this.peakDescriptors = Math.max(this.peakDescriptors, files.length);
    } catch {
      // The process ended meanwhile, which is recorded elsewhere.
    }
  }
}
