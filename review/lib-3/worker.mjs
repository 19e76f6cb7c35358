import { openServer } from './http.mjs';

const HEARTBEAT_MS = 1_500;
const CHECK_MS = 20;
const STOP_MS = 50;
const MAX_WAIT_MS = 2_000;
const MAX_LISTED_ENDS = 500;

/** Longest lease of a worker, in ms. */
export const HOLD_MAX_MS = 6_000;

/** Capacity of a worker. */
export const CAPACITY = { cpu: 16_000, 'mem-mb': 65_536, gpu: 0 };

/**
 * Stand-in of a worker. The text of a job is JSON with the need of a task and the time that it works, by step;
 * without a time a task lasts.
 */
export class Worker {
  constructor({ id, rack, service, store, events, tickets = null }) {
    this.id = id;
    this.rack = rack;
    this.service = service;
    this.store = store;
    this.events = events;
    this.tickets = tickets;
    this.port = 0;
    this.refusals = 0;
    this.isUp = false;
    this.waiters = new Set();
    this.reset();
  }

  /** A new life knows nothing of the one before. */
  reset() {
    this.isDark = false;
    this.runs = new Map();
    this.refusedUpTo = new Map();
    this.ended = [];
    this.endCount = 0;
    this.token = 0;
    this.leaseEndMs = 0;
    this.sequence = 0;
  }

  async start() {
    this.reset();
    this.bornMs = Date.now();
    this.startedAtMs = performance.now();
    this.server = await openServer('127.0.0.1', this.port, async (call) => this.handle(call));
    this.port = this.server.port;
    this.isUp = true;
    this.register();
    this.timers = [
      setInterval(() => this.register(), HEARTBEAT_MS),
      setInterval(() => this.sweep(), CHECK_MS),
    ];
  }

  /** Ends as a process that is killed; all that runs there ends. */
  crash() {
    this.close();
    this.runs.forEach((run) => this.events.recordEnd(this.id, run, 'crashed'));
    this.reset();
  }

  /** Loses power: nothing is answered or reset, new connections hang, and all that runs there ends. */
  darken() {
    this.isDark = true;
    this.timers.forEach((timer) => clearInterval(timer));
    this.runs.forEach((run) => this.events.recordEnd(this.id, run, 'lost'));
    this.runs.clear();
  }

  close() {
    this.isUp = false;
    this.timers.forEach((timer) => clearInterval(timer));
    this.server.close();
  }

  /** A ticket is valid for all tasks of its step, during this life of the worker. */
  isTicketValid(task, ticket) {
    const step = task.split('.').slice(0, 3).join('.');
    return this.tickets?.isValid(ticket, { step, worker: this.id, bornMs: this.bornMs }) === true;
  }

  getClockMs() {
    return Math.floor(performance.now() - this.startedAtMs);
  }

  getUsedCpu() {
    return [...this.runs.values()].reduce((sum, { need }) => sum + need.cpu, 0);
  }

  register() {
    this.sequence += 1;
    this.store.put('servers', this.id, {
      service: this.service,
      address: `127.0.0.1:${this.port}`,
      zone: 'zone-a',
      version: '1',
      slots: 8,
      state: 'ready',
      'cold-left-ms': 0,
      sequence: this.sequence,
      capacity: CAPACITY,
      labels: ['a', this.rack],
      born: this.bornMs,
    });
  }

  sweep() {
    const nowMs = this.getClockMs();
    [...this.runs.values()].forEach((run) => {
      if (nowMs >= this.leaseEndMs) {
        this.end(run, 'lapsed');
      } else if (nowMs >= run.endsAtMs) {
        this.end(run, 'done');
      }
    });
  }

  end(run, how) {
    if (this.runs.get(run.task) !== run) {
      return;
    }
    this.runs.delete(run.task);
    this.endCount += 1;
    this.ended.push([this.endCount, run.task, run.run, how, '']);
    this.refuse(run.task, run.run);
    this.events.recordEnd(this.id, run, how);
    this.waiters.forEach((notify) => notify());
  }

  refuse(task, run) {
    this.refusedUpTo.set(task, Math.max(run, this.refusedUpTo.get(task) ?? 0));
  }

  reply(status, fields) {
    return { status, body: { 'clock-ms': this.getClockMs(), born: this.bornMs, ...fields } };
  }

  async handle({ path, headers, body }) {
    if (this.isDark) {
      return null;
    }
    if (headers['baobabwell-expect-instance'] !== this.id) {
      return { status: 421, body: {} };
    }
    const token = body['fencing-token'] ?? 0;
    if (token < this.token) {
      return this.reply(409, { reason: 'fence' });
    }
    this.token = token;
    switch (path) {
      case '/baobabwell/run-start':
        return this.startRun(body);
      case '/baobabwell/run-stop':
        return this.stopRun(body);
      case '/baobabwell/pace':
        return this.reply(200, {});
      case '/baobabwell/hold':
        return this.hold(body);
      default:
        return this.reply(400, {});
    }
  }

  extendLease(deadlineMs) {
    const longestMs = this.getClockMs() + HOLD_MAX_MS;
    this.leaseEndMs = Math.max(this.leaseEndMs, Math.min(deadlineMs, longestMs));
  }

  startRun({ task, run, spec, ticket, 'deadline-ms': deadlineMs }) {
    if (this.runs.get(task)?.run === run) {
      return this.reply(200, {});
    }
    if (deadlineMs <= this.getClockMs()) {
      return this.reply(409, { reason: 'late' });
    }
    this.extendLease(deadlineMs);
    if (run <= (this.refusedUpTo.get(task) ?? 0) || run <= (this.runs.get(task)?.run ?? 0)) {
      return this.reply(409, { reason: 'old' });
    }
    const need = JSON.parse(spec).steps[Number(task.split('.')[2])];
    if (need.advised && !this.isTicketValid(task, ticket)) {
      this.refusals += 1;
      return this.reply(409, { reason: 'ticket' });
    }
    if (this.getUsedCpu() + need.cpu > CAPACITY.cpu) {
      return this.reply(409, { reason: 'room' });
    }
    const endsAtMs = this.getClockMs() + (need.ms ?? Infinity);
    const started = { task, run, need, endsAtMs };
    this.runs.set(task, started);
    this.events.recordStart(this.id, started);
    return this.reply(200, {});
  }

  stopRun({ task, run }) {
    this.refuse(task, run);
    const active = this.runs.get(task);
    if (active !== undefined && active.run <= run) {
      setTimeout(() => this.end(active, 'stopped'), STOP_MS);
    }
    return this.reply(200, {});
  }

  async hold(body) {
    if (body['deadline-ms'] !== undefined) {
      this.extendLease(body['deadline-ms']);
    }
    const cursor = body['ack-cursor'] ?? 0;
    this.ended = this.ended.filter(([position]) => position > cursor);
    const waitMs = Math.min(MAX_WAIT_MS, body['wait-ms'] ?? 0);
    if (this.ended.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        let timer = null;
        const notify = () => {
          clearTimeout(timer);
          this.waiters.delete(notify);
          resolve();
        };
        timer = setTimeout(notify, waitMs);
        this.waiters.add(notify);
      });
    }
    return this.reply(200, {
      'active-runs': [...this.runs.values()].map(({ task, run, need }) => [
        task,
        run,
        '',
        need.ms === undefined ? 100 : 50,
        need.cpu,
      ]),
      ended: this.ended.slice(0, MAX_LISTED_ENDS),
    });
  }
}
