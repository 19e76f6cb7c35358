/** Stand-in of a worker: runs tasks under leases, and registers itself in the store. */
import { listen } from './http.mjs';

const HEARTBEAT_MS = 1_500;
const EXPIRY_MS = 3 * HEARTBEAT_MS;
const STOP_MS = 20;
const REPORTED_ENDS = 500;
const CHECK_MS = 20;

/** Finds what a task needs and how long it works: the spec of the job holds both for each step. */
function findStep(spec, task) {
  return JSON.parse(spec).steps[Number(task.split('.')[2])];
}

export class Worker {
  #server = null;

  #timers = [];

  #life = 0;

  /** @param log records what happens: `log(event, fields)`. */
  constructor(options) {
    Object.assign(this, { isSameId: false, kind: 'a', ...options });
    this.isUp = false;
    this.isCut = false;
    /** Refuses all starts as an unhealthy worker does; its heartbeats go on. */
    this.isBusy = false;
    this.port = 0;
  }

  async start() {
    this.#life += 1;
    this.id = this.isSameId ? `${this.name}-id` : `${this.name}-life${this.#life}`;
    this.bornMs = Date.now();
    this.startedAtMs = performance.now();
    this.token = 0;
    this.leaseEndMs = 0;
    this.runs = new Map();
    this.refusedUpTo = new Map();
    this.ended = [];
    this.endCount = 0;
    this.sequence = 0;
    this.waiters = new Set();
    this.#server = await listen(this.host, this.port, async (call) => this.#handle(call));
    this.port = this.#server.port;
    this.isUp = true;
    this.#beat();
    this.#timers = [
      setInterval(() => this.#beat(), HEARTBEAT_MS),
      setInterval(() => this.#check(), CHECK_MS),
    ];
    this.log('worker-up', { worker: this.id });
  }

  /** Ends the worker as a crash does: it says nothing, and all that it ran is gone. */
  crash() {
    this.log('worker-crashed', { worker: this.id, runs: [...this.runs.keys()] });
    this.isUp = false;
    this.#timers.forEach((timer) => clearInterval(timer));
    this.runs.forEach((run) =>
      this.log('run-gone', { task: run.task, run: run.run, worker: this.id }),
    );
    this.runs.clear();
    this.#server.close();
    const { id } = this;
    setTimeout(() => {
      if (!this.isUp || this.id !== id) {
        this.store.drop('servers', id);
      }
    }, EXPIRY_MS).unref();
  }

  /** Partitions the worker from everything, or ends the partition; it runs on meanwhile. */
  cut(isCut) {
    this.isCut = isCut;
    this.log(isCut ? 'worker-cut' : 'worker-healed', { worker: this.id });
    if (isCut) {
      const { id } = this;
      this.cutTimer = setTimeout(() => this.store.drop('servers', id), EXPIRY_MS).unref();
    } else {
      clearTimeout(this.cutTimer);
      this.#beat();
    }
  }

  close() {
    this.isUp = false;
    this.#timers.forEach((timer) => clearInterval(timer));
    this.#server?.close();
  }

  getLabels() {
    return [this.kind, this.rack];
  }

  getClockMs() {
    return Math.floor(performance.now() - this.startedAtMs);
  }

  getUsed() {
    const used = { cpu: 0, 'mem-mb': 0, gpu: 0 };
    this.runs.forEach(({ need }) => {
      used.cpu += need.cpu ?? 0;
      used['mem-mb'] += need['mem-mb'] ?? 0;
      used.gpu += need.gpu ?? 0;
    });
    return used;
  }

  #beat() {
    if (this.isCut || !this.isUp) {
      return;
    }
    this.sequence += 1;
    this.store.put('servers', this.id, {
      service: this.service,
      address: `${this.host}:${this.port}`,
      zone: 'zone-a',
      version: '1',
      slots: 8,
      state: 'ready',
      'cold-left-ms': 0,
      sequence: this.sequence,
      capacity: this.capacity,
      labels: this.getLabels(),
      born: this.bornMs,
    });
  }

  #check() {
    const nowMs = this.getClockMs();
    [...this.runs.values()].forEach((run) => {
      if (nowMs >= this.leaseEndMs) {
        this.#end(run, 'lapsed');
      } else if (run.endsAtMs !== null && nowMs >= run.endsAtMs) {
        this.#end(run, run.outcome);
      }
    });
  }

  #end(run, how) {
    if (!this.runs.delete(run.task)) {
      return;
    }
    this.endCount += 1;
    this.ended.push([this.endCount, run.task, run.run, how, '']);
    this.#refuse(run.task, run.run);
    this.log('run-ended', { task: run.task, run: run.run, how, worker: this.id });
    this.waiters.forEach((notify) => notify());
  }

  #refuse(task, run) {
    this.refusedUpTo.set(task, Math.max(run, this.refusedUpTo.get(task) ?? 0));
  }

  async #handle(call) {
    if (this.isCut) {
      return null;
    }
    if (call.headers['baobabwell-expect-instance'] !== this.id) {
      return { status: 421, body: {} };
    }
    const reply = await this.#answer(call.path, call.body ?? {});
    return this.isCut ? null : reply;
  }

  async #answer(path, body) {
    if ((body['fencing-token'] ?? 0) < this.token) {
      return this.#reply(409, { reason: 'fence' });
    }
    this.token = body['fencing-token'] ?? 0;
    switch (path) {
      case '/baobabwell/run-start':
        if (this.isBusy) {
          this.log('start-refused', { task: body.task, run: body.run, worker: this.id });
          return this.#reply(503, {});
        }
        return this.#start(body);
      case '/baobabwell/run-stop':
        return this.#stop(body);
      case '/baobabwell/pace':
        return this.#reply(200, {});
      case '/baobabwell/hold':
        return this.#hold(body);
      default:
        return this.#reply(400, {});
    }
  }

  #reply(status, fields) {
    return { status, body: { 'clock-ms': this.getClockMs(), born: this.bornMs, ...fields } };
  }

  #extendLease(deadlineMs) {
    const longestMs = this.getClockMs() + this.holdMaxMs;
    this.leaseEndMs = Math.max(this.leaseEndMs, Math.min(deadlineMs, longestMs));
  }

  #start(body) {
    const { task, run, spec, 'deadline-ms': deadlineMs } = body;
    if (this.runs.get(task)?.run === run) {
      return this.#reply(200, {});
    }
    if (deadlineMs <= this.getClockMs()) {
      return this.#reply(409, { reason: 'late' });
    }
    this.#extendLease(deadlineMs);
    if (run <= (this.refusedUpTo.get(task) ?? 0)) {
      return this.#reply(409, { reason: 'old' });
    }
    const step = findStep(spec, task);
    const used = this.getUsed();
    const hasRoom = ['cpu', 'mem-mb', 'gpu'].every(
      (kind) => used[kind] + (step[kind] ?? 0) <= this.capacity[kind],
    );
    if (!hasRoom) {
      return this.#reply(409, { reason: 'room' });
    }
    this.runs.set(task, {
      task,
      run,
      need: step,
      startedAtMs: this.getClockMs(),
      workMs: step['work-ms'] ?? null,
      endsAtMs: step['work-ms'] === undefined ? null : this.getClockMs() + step['work-ms'],
      outcome: step.outcome ?? 'done',
    });
    this.log('run-started', { task, run, token: body['fencing-token'], worker: this.id });
    return this.#reply(200, {});
  }

  #stop({ task, run }) {
    this.#refuse(task, run);
    const active = this.runs.get(task);
    if (active !== undefined && active.run <= run) {
      setTimeout(() => this.#end(active, 'stopped'), STOP_MS);
    }
    return this.#reply(200, {});
  }

  async #hold(body) {
    if (body['deadline-ms'] !== undefined) {
      this.#extendLease(body['deadline-ms']);
    }
    const cursor = body['ack-cursor'] ?? 0;
    this.ended = this.ended.filter(([position]) => position > cursor);
    const waitMs = Math.min(2_000, body['wait-ms'] ?? 0);
    if (this.ended.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, waitMs);
        const notify = () => {
          clearTimeout(timer);
          this.waiters.delete(notify);
          resolve();
        };
        this.waiters.add(notify);
      });
    }
    return this.#reply(200, {
      'active-runs': [...this.runs.values()].map((run) => [
        run.task,
        run.run,
        '',
        run.workMs === null
          ? 100
          : Math.min(99, Math.floor((100 * (this.getClockMs() - run.startedAtMs)) / run.workMs)),
        run.need.cpu ?? 0,
      ]),
      ended: this.ended.slice(0, REPORTED_ENDS),
    });
  }
}
