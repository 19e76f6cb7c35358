import type { JsonObject, StandInCall, StandInReply, StandInServer } from './http';
import type { SoakStore } from './store';

import { openServer } from './http';

const HEARTBEAT_MS = 1_500;
const EXPIRY_MS = 3 * HEARTBEAT_MS;
const CHECK_MS = 20;
const STOP_MS = 20;
const MAX_WAIT_MS = 2_000;
const RUNNING_PERCENT = 100;
const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;
const HTTP_CONFLICT = 409;
const HTTP_MISDIRECTED = 421;

/** Longest lease of a worker, in ms. */
export const HOLD_MAX_MS = 6_000;

/** What a job's text says of a step: its need, and how long a task works; without it a task lasts. */
type StepText = { readonly cpu: number; readonly 'mem-mb': number; readonly 'work-ms'?: number };

type Run = {
  readonly task: string;
  readonly run: number;
  readonly need: StepText;
  readonly endsAtMs: number;
};

/** Receives the starts and ends of runs. */
export type RunListener = {
  readonly recordStart: (task: string, worker: string) => void;
  readonly recordEnd: (task: string, how: string) => void;
};

function findStep(spec: string, task: string): StepText {
  const { steps } = JSON.parse(spec) as { readonly steps: readonly StepText[] };
  const step = steps[Number(task.split('.')[2])];
  if (step === undefined) {
    throw new Error(`the text of ${task} has no such step`);
  }
  return step;
}

/** Stand-in of a worker: runs tasks under leases and registers itself in the store. */
export class SoakWorker {
  readonly id: string;

  readonly rack: string;

  readonly runs = new Map<string, Run>();

  readonly #store: SoakStore;

  readonly #listener: RunListener;

  readonly #bornMs = Date.now();

  readonly #startedAtMs = performance.now();

  readonly #refusedUpTo = new Map<string, number>();

  readonly #waiters = new Set<() => void>();

  #ended: [number, string, number, string, string][] = [];

  #endCount = 0;

  #token = 0;

  #leaseEndMs = 0;

  #sequence = 0;

  #timers: NodeJS.Timeout[] = [];

  #server: StandInServer | null = null;

  constructor(id: string, rack: string, store: SoakStore, listener: RunListener) {
    this.id = id;
    this.rack = rack;
    this.#store = store;
    this.#listener = listener;
  }

  async start(): Promise<void> {
    this.#server = await openServer(0, async (call) => this.#handle(call));
    this.#register();
    this.#timers = [
      setInterval(() => this.#register(), HEARTBEAT_MS),
      setInterval(() => this.#sweep(), CHECK_MS),
    ];
  }

  /** Ends the worker as a crash does; the store drops it when its heartbeats are missed. */
  crash(): void {
    this.close();
    [...this.runs.keys()].forEach((task) => this.#listener.recordEnd(task, 'crashed'));
    this.runs.clear();
    setTimeout(() => this.#store.remove('servers', this.id), EXPIRY_MS).unref();
  }

  close(): void {
    this.#timers.forEach((timer) => clearInterval(timer));
    this.#server?.close();
  }

  #getClockMs(): number {
    return Math.floor(performance.now() - this.#startedAtMs);
  }

  #getCapacity(): JsonObject {
    return { cpu: 16_000, 'mem-mb': 65_536, gpu: 0 };
  }

  #register(): void {
    this.#sequence += 1;
    this.#store.put('servers', this.id, {
      service: 'service-a',
      address: `127.0.0.1:${this.#server?.port}`,
      zone: 'zone-a',
      version: '1',
      slots: 8,
      state: 'ready',
      'cold-left-ms': 0,
      sequence: this.#sequence,
      capacity: this.#getCapacity(),
      labels: ['a', this.rack],
      born: this.#bornMs,
    });
  }

  #sweep(): void {
    const nowMs = this.#getClockMs();
    [...this.runs.values()].forEach((run) => {
      if (nowMs >= this.#leaseEndMs) {
        this.#end(run, 'lapsed');
      } else if (nowMs >= run.endsAtMs) {
        this.#end(run, 'done');
      }
    });
  }

  #end(run: Run, how: string): void {
    if (this.runs.get(run.task) !== run) {
      return;
    }
    this.runs.delete(run.task);
    this.#endCount += 1;
    this.#ended.push([this.#endCount, run.task, run.run, how, '']);
    this.#refuse(run.task, run.run);
    this.#listener.recordEnd(run.task, how);
    this.#waiters.forEach((notify) => notify());
  }

  #refuse(task: string, run: number): void {
    this.#refusedUpTo.set(task, Math.max(run, this.#refusedUpTo.get(task) ?? 0));
  }

  async #handle({ path, headers, body }: StandInCall): Promise<StandInReply> {
    if (headers['baobabwell-expect-instance'] !== this.id) {
      return { status: HTTP_MISDIRECTED, body: {} };
    }
    const token = Number(body['fencing-token'] ?? 0);
    if (token < this.#token) {
      return this.#reply(HTTP_CONFLICT, { reason: 'fence' });
    }
    this.#token = token;
    switch (path) {
      case '/baobabwell/run-start':
        return this.#start(body);
      case '/baobabwell/run-stop':
        return this.#stop(String(body['task']), Number(body['run']));
      case '/baobabwell/pace':
        return this.#reply(HTTP_OK, {});
      case '/baobabwell/hold':
        return this.#hold(body);
      default:
        return this.#reply(HTTP_BAD_REQUEST, {});
    }
  }

  #reply(status: number, fields: JsonObject): StandInReply {
    return { status, body: { 'clock-ms': this.#getClockMs(), born: this.#bornMs, ...fields } };
  }

  #extendLease(deadlineMs: number): void {
    const longestMs = this.#getClockMs() + HOLD_MAX_MS;
    this.#leaseEndMs = Math.max(this.#leaseEndMs, Math.min(deadlineMs, longestMs));
  }

  #start(body: JsonObject): StandInReply {
    const task = String(body['task']);
    const run = Number(body['run']);
    const deadlineMs = Number(body['deadline-ms']);
    if (this.runs.get(task)?.run === run) {
      return this.#reply(HTTP_OK, {});
    }
    if (deadlineMs <= this.#getClockMs()) {
      return this.#reply(HTTP_CONFLICT, { reason: 'late' });
    }
    this.#extendLease(deadlineMs);
    if (run <= (this.#refusedUpTo.get(task) ?? 0)) {
      return this.#reply(HTTP_CONFLICT, { reason: 'old' });
    }
    const need = findStep(String(body['spec']), task);
    if (!this.#hasRoom(need)) {
      return this.#reply(HTTP_CONFLICT, { reason: 'room' });
    }
    const endsAtMs = this.#getClockMs() + (need['work-ms'] ?? Infinity);
    this.runs.set(task, { task, run, need, endsAtMs });
    this.#listener.recordStart(task, this.id);
    return this.#reply(HTTP_OK, {});
  }

  #hasRoom(need: StepText): boolean {
    const used = [...this.runs.values()].reduce((sum, run) => sum + run.need.cpu, 0);
    return used + need.cpu <= Number(this.#getCapacity()['cpu']);
  }

  #stop(task: string, run: number): StandInReply {
    this.#refuse(task, run);
    const active = this.runs.get(task);
    if (active !== undefined && active.run <= run) {
      setTimeout(() => this.#end(active, 'stopped'), STOP_MS);
    }
    return this.#reply(HTTP_OK, {});
  }

  async #hold(body: JsonObject): Promise<StandInReply> {
    if (body['deadline-ms'] !== undefined) {
      this.#extendLease(Number(body['deadline-ms']));
    }
    const cursor = Number(body['ack-cursor'] ?? 0);
    this.#ended = this.#ended.filter(([position]) => position > cursor);
    const waitMs = Math.min(MAX_WAIT_MS, Number(body['wait-ms'] ?? 0));
    if (this.#ended.length === 0 && waitMs > 0) {
      await new Promise<void>((resolve) => {
        const notify = (): void => {
          this.#waiters.delete(notify);
          resolve();
        };
        this.#waiters.add(notify);
        setTimeout(notify, waitMs);
      });
    }
    return this.#reply(HTTP_OK, {
      'active-runs': [...this.runs.values()].map(({ task, run, need }) => [
        task,
        run,
        '',
        RUNNING_PERCENT,
        need.cpu,
      ]),
      ended: this.#ended,
    });
  }
}
