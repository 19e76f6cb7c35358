import type { ExitListener, MachineLimits, SoakDaemon, SoakDeployment } from './deployment';
import type { RunListener } from './worker';

import { setTimeout as wait } from 'node:timers/promises';

import { KeptConnection } from './client';
import { startDeployment } from './deployment';
import { SoakStore } from './store';
import { SoakWorker } from './worker';

const RACKS = 3;
const HTTP_OK = 200;
const RETRY_MS = 100;

/** Key of the only tenant. */
export const KEY = 'key-of-team-one';

/** Host name of all queues. */
export const QUEUE_HOST = 'queue.example';

/** Path under which jobs are submitted. */
export const PREFIX = '/queue-a/';

/** Cores of a lasting task, in thousandths. */
const LASTING_CPU = 1_300;
const SHORT_CPU = 500;

/** Creates the operator's configuration: each version renames the queues; a second one is there in every other. */
export function createConfiguration(version: number): unknown {
  const names = version % 2 === 0 ? ['queue-a', 'queue-b'] : ['queue-a'];
  return {
    version,
    routes: names.map((name) => ({
      name: `${name}-${version}`,
      host: QUEUE_HOST,
      'path-prefix': `/${name}/`,
      service: 'service-a',
      priority: 0,
      'max-attempts': 4,
      stretch: 2,
      'target-latency-ms': 600 + version,
    })),
    services: [{ name: 'service-a', spare: false, 'admission-check': true }],
    tenants: [{ name: 'team-one', 'api-keys': [KEY], weight: 1, cap: {} }],
    limits: { 'max-body-bytes': 262_144 },
  };
}

/** Creates the body of a job of one step; its tasks last if they have no time of work. */
export function createJobBody(count: number, workMs: number | null): string {
  const need = { cpu: workMs === null ? LASTING_CPU : SHORT_CPU, 'mem-mb': 500 };
  const text = workMs === null ? need : { ...need, 'work-ms': workMs };
  const kind = workMs === null ? { 'long-running': true, 'may-miss': 1 } : {};
  const estimateMs = workMs ?? 30_000;
  return JSON.stringify({
    spec: JSON.stringify({ steps: [text] }),
    steps: [{ count, ...need, 'estimate-ms': estimateMs, ...kind }],
  });
}

/** Returns a job id of 16 hexadecimal digits. */
export function createJobId(number: number): string {
  return number.toString(16).padStart(16, '0');
}

/** Store, workers and processes of one run. */
export class SoakSite {
  readonly store: SoakStore;

  readonly workers: SoakWorker[] = [];

  #deployment: SoakDeployment | null = null;

  /** @param seed which answers of the store are lost, if a share of them is. */
  constructor(seed = 1) {
    this.store = new SoakStore(seed);
  }

  get daemons(): readonly SoakDaemon[] {
    return this.#deployment?.daemons ?? [];
  }

  async start(
    sizes: {
      readonly daemons: number;
      readonly workers: number;
      /** Limits of the machines, if other than usual. */
      readonly machine?: MachineLimits;
    },
    runs: RunListener,
    recordExit: ExitListener,
  ): Promise<void> {
    const address = await this.store.open();
    this.store.put('op', 'config', createConfiguration(1));
    for (let index = 0; index < sizes.workers; index += 1) {
      const rack = `r${(index % RACKS) + 1}`;
      const worker = new SoakWorker(`worker-${index + 1}`, rack, this.store, runs);
      await worker.start();
      this.workers.push(worker);
    }
    this.#deployment = await startDeployment(sizes.daemons, address, recordExit, sizes.machine);
  }

  async close(): Promise<void> {
    await this.#deployment?.close();
    this.workers.forEach((worker) => worker.close());
    this.store.close();
  }

  findOwner(): SoakDaemon | null {
    return this.#deployment?.findOwner() ?? null;
  }

  /** Counts the tasks of a job that run. */
  countRuns(jobId: string): number {
    return this.workers.reduce(
      (sum, { runs }) => sum + [...runs.keys()].filter((task) => task.startsWith(jobId)).length,
      0,
    );
  }

  /** Submits a job at one process after the other until it is accepted. */
  async submitUntilAccepted(jobId: string, body: string): Promise<void> {
    const request = { method: 'POST', path: `${PREFIX}${jobId}`, body, pieces: 1, pauseMs: 0 };
    for (let attempt = 0; ; attempt += 1) {
      const daemon = this.daemons[attempt % this.daemons.length];
      if (daemon !== undefined) {
        const connection = new KeptConnection(daemon);
        const { status } = await connection.call(request, QUEUE_HOST, KEY);
        connection.close();
        if (status === HTTP_OK) {
          return;
        }
      }
      await wait(RETRY_MS);
    }
  }

  /** Waits until all tasks of a job run; returns false if they do not in time. */
  async waitForRuns(jobId: string, count: number, maxMs: number): Promise<boolean> {
    const untilMs = performance.now() + maxMs;
    const pollMs = 5;
    while (this.countRuns(jobId) < count) {
      if (performance.now() > untilMs) {
        return false;
      }
      await wait(pollMs);
    }
    return true;
  }
}
