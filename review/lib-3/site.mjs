import { writeFile } from 'node:fs/promises';
import { setTimeout as wait } from 'node:timers/promises';

import { Advisor } from './advisor.mjs';
import { Daemons } from './daemons.mjs';
import { callOnce } from './http.mjs';
import { Store } from './store.mjs';
import { CAPACITY, Worker } from './worker.mjs';

const KEY = 'key-of-team-one';
const QUEUE_HOST = 'queue.example';
const SERVICE = 'service-a';
const DEADLINE_MS = 3_000;

/** Creates the operator's configuration of one service with one queue. */
export function createConfiguration(version, advice = null) {
  return {
    version,
    routes: [
      {
        name: 'queue-a',
        host: QUEUE_HOST,
        'path-prefix': '/queue-a/',
        service: SERVICE,
        priority: 0,
        'max-attempts': 4,
        stretch: 20,
        'target-latency-ms': 20_000,
        ...(advice === null
          ? {}
          : {
              advice: {
                'decide-ms': advice.decideMs,
                'period-ms': advice.periodMs,
                'valid-ms': advice.validMs,
              },
            }),
      },
    ],
    services: [{ name: SERVICE, spare: false, 'admission-check': true }],
    tenants: [{ name: 'team-one', 'api-keys': [KEY], weight: 10, cap: {} }],
    limits: { 'max-body-bytes': 262_144 },
  };
}

/** Creates the body of a job; `ms` is how long a task works, and is not told the system but by an estimate. */
export function createBody(steps, schedule = {}) {
  const text = { steps: steps.map(({ cpu, ms, advised }) => ({ cpu, ms, advised })) };
  return JSON.stringify({
    spec: JSON.stringify(text),
    steps: steps.map(({ ms, advised: _, ...step }) => ({ ...step, 'estimate-ms': ms })),
    ...schedule,
  });
}

/** Store, workers, processes and clients of one run, and what they have seen. */
export class Site {
  constructor(recordPath) {
    this.recordPath = recordPath;
    this.lines = [];
    this.startedAtMs = performance.now();
    this.store = new Store({ record: (line) => this.recordOften(line) });
    this.repeated = new Map();
    /** What workers have seen of each job: running tasks, tasks done by step, last time it ran. */
    this.jobs = new Map();
    this.workers = [];
    this.nextDaemon = 0;
    this.lastWorker = null;
  }

  getMs() {
    return Math.round(performance.now() - this.startedAtMs);
  }

  record(line) {
    this.lines.push(`${this.getMs()} ${line}`);
  }

  /** Records lines that come often: the first of a kind, and how many there were. */
  recordOften(line) {
    const kind = line.replace(/\d+/g, 'N');
    const count = (this.repeated.get(kind) ?? 0) + 1;
    this.repeated.set(kind, count);
    if (count <= 3) {
      this.record(line);
    }
  }

  getJob(id) {
    if (!this.jobs.has(id)) {
      this.jobs.set(id, { starts: 0, running: 0, done: new Map(), ends: {}, ranAtMs: -Infinity });
    }
    return this.jobs.get(id);
  }

  async start({ daemons, workers, advice = null }) {
    const store = await this.store.open();
    this.store.put('op', 'config', createConfiguration(1, advice));
    if (advice !== null) {
      this.advisor = new Advisor({
        ...advice,
        findWorker: (id) => this.workers.find((worker) => worker.id === id),
        record: (line) => this.record(line),
      });
    }
    const advisor = await this.advisor?.open();
    const events = {
      recordStart: (worker, run) => this.recordStart(worker, run),
      recordEnd: (worker, run, how) => this.recordEnd(worker, run, how),
    };
    for (let index = 0; index < workers; index += 1) {
      const rack = `r${1 + Math.floor(index / 4)}`;
      const id = `worker-${index + 1}`;
      const worker = new Worker({
        id,
        rack,
        service: SERVICE,
        store: this.store,
        events,
        tickets: this.advisor,
      });
      await worker.start();
      this.workers.push(worker);
    }
    const record = (line) => this.record(line);
    this.daemons = new Daemons({ count: daemons, store, advisor, record });
    await this.daemons.start();
    this.record(`${daemons} processes are ready, ${workers} workers`);
  }

  recordStart(worker, { task }) {
    this.lastWorker = worker;
    const job = this.getJob(task.split('.')[0]);
    job.starts += 1;
    job.running += 1;
    job.ranAtMs = this.getMs();
  }

  recordEnd(_worker, { task }, how) {
    const [id, occurrence, step, index] = task.split('.');
    const job = this.getJob(id);
    job.running -= 1;
    job.ranAtMs = this.getMs();
    job.ends[how] = (job.ends[how] ?? 0) + 1;
    if (how === 'done') {
      const key = `${occurrence}.${step}`;
      const tasks = job.done.get(key) ?? new Set();
      job.done.set(key, tasks.add(index));
    }
  }

  getUsedShare() {
    const up = this.workers.filter(({ isUp }) => isUp);
    const used = up.reduce((sum, worker) => sum + worker.getUsedCpu(), 0);
    return used / (CAPACITY.cpu * Math.max(1, up.length));
  }

  async call(method, path, body = '') {
    const { processes } = this.daemons;
    const { host, port } = processes[this.nextDaemon % processes.length];
    this.nextDaemon += 1;
    return callOnce({
      host,
      port,
      method,
      path: `/queue-a/${path}`,
      body,
      headers: {
        host: QUEUE_HOST,
        authorization: `Bearer ${KEY}`,
        'baobabwell-request-deadline': DEADLINE_MS,
      },
      timeoutMs: DEADLINE_MS + 500,
    });
  }

  /** Hands a job in, at one process after the other, until it is accepted or refused for good. */
  async submit(id, body, attempts = 20) {
    for (let attempt = 0; attempt < attempts; attempt += 1) {
      const { status } = await this.call('POST', id, body);
      this.record(`POST ${id} -> ${status}`);
      if (status === 200) {
        return true;
      }
      await wait(300);
    }
    return false;
  }

  async readState(id) {
    const { status, body } = await this.call('GET', id);
    return status === 200 ? body.state : `status ${status}`;
  }

  async close(verdict) {
    this.repeated.forEach((count, kind) => {
      if (count > 3) {
        this.record(`${count} times in all: ${kind}`);
      }
    });
    this.record(verdict);
    await writeFile(this.recordPath, `${this.lines.join('\n')}\n`);
    await this.daemons?.close();
    this.workers.forEach((worker) => worker.close());
    this.advisor?.close();
    this.store.close();
  }
}
