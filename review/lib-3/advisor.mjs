import { setTimeout as wait } from 'node:timers/promises';

import { openServer } from './http.mjs';

const MAX_WORKERS = 100;
const MAX_WAITING = 32;

/** Stand-in of the service for advice. Its policy names the workers that may run a step. */
export class Advisor {
  constructor({ decideMs, periodMs, validMs, mayRun, findWorker, record }) {
    this.timing = { decideMs, periodMs, validMs };
    this.mayRun = mayRun;
    this.findWorker = findWorker;
    this.record = record;
    this.tickets = new Map();
    this.count = 0;
    this.waiting = 0;
    this.turn = Promise.resolve();
  }

  async open() {
    this.server = await openServer('127.0.0.1', 0, async (call) => this.answer(call));
    return `127.0.0.1:${this.server.port}`;
  }

  close() {
    this.server?.close();
  }

  isValid(ticket, { step, worker, bornMs }) {
    const known = this.tickets.get(ticket);
    return (
      known?.step === step &&
      known.worker === worker &&
      known.bornMs === bornMs &&
      performance.now() < known.untilMs
    );
  }

  async answer({ method, path, body }) {
    if (method !== 'POST' || path !== '/baobabwell/advise') {
      return { status: 404, body: {} };
    }
    if (body.workers.length > MAX_WORKERS) {
      return { status: 400, body: {} };
    }
    if (this.waiting >= MAX_WAITING) {
      return { status: 429, body: {} };
    }
    this.waiting += 1;
    const { decideMs, periodMs, validMs } = this.timing;
    this.turn = this.turn.then(async () => wait(decideMs + periodMs * body.workers.length));
    await this.turn;
    this.waiting -= 1;
    const good = body.workers
      .map((id) => this.findWorker(id))
      .filter((worker) => worker?.isUp === true && this.mayRun(worker.id))
      .map(({ id, bornMs }) => {
        this.count += 1;
        const ticket = `ticket-${this.count}`;
        const untilMs = performance.now() + validMs;
        this.tickets.set(ticket, { step: body.step, worker: id, bornMs, untilMs });
        return [id, ticket];
      });
    this.record(`advice for ${body.step} on ${body.workers.join(' ')} -> ${JSON.stringify(good)}`);
    return { status: 200, body: { good } };
  }
}
