import type { TermContext } from './BaobabwellControllerContext';
import type { Host } from './BaobabwellControllerHost';
import type { Run } from '@baobabwell/jobs';
import type { OrderError } from '@baobabwell/platform';

import { RunPhase } from '@baobabwell/jobs';
import { OrderRefusal } from '@baobabwell/platform';

import {
  REFUSAL_PAUSE_MS,
  START_ATTEMPTS,
  UNHEALTHY_PAUSE_MS,
} from './BaobabwellControllerConstants';

/** What orders tell the session of their host. */
export type OrderListener = {
  readonly requestHold: () => void;
  /** An order was not answered. */
  readonly recordDoubt: () => void;
  /** The run is not on the host and never will be. */
  readonly loseRun: (run: Run) => void;
  readonly recordLifeEnd: (reason: string) => void;
  readonly isOver: () => boolean;
};

/** Fields by which a log line names a run. */
export function describeRun({ task, number, hostId }: Run): Record<string, string | number> {
  return { job: task.step.job.record.id, task: task.name, run: number, host: hostId };
}

/** Starts and stops runs on one host. */
export class RunOrders {
  readonly #context: TermContext;

  readonly #host: Host;

  readonly #session: OrderListener;

  constructor(context: TermContext, host: Host, session: OrderListener) {
    this.#context = context;
    this.#host = host;
    this.#session = session;
  }

  /** Starts a run that was placed here; retries while no answer comes. */
  async startRun(run: Run, ticket: string | null): Promise<void> {
    const { clock, orders, term, ownership, logger, metrics } = this.#context;
    const started = run;
    let mayHaveStarted = false;
    for (let attempt = 0; attempt < START_ATTEMPTS; attempt += 1) {
      const isFutile = mayHaveStarted && !this.#host.isReachable;
      const bound = ownership.findMaxStartableVersion() ?? 0;
      const isAllowed = run.task.step.job.acceptedVersion <= bound;
      if (!isAllowed || this.#session.isOver() || (isFutile && attempt > 1)) {
        break;
      }
      const { task, number } = run;
      const reply = await orders.start(this.#host.life, {
        task: task.name,
        run: number,
        payload: task.step.job.record.spec.payload,
        leaseEndMs: this.#host.extendLease(clock.getNow()),
        epoch: term.epoch,
        checkpoint: task.checkpoint,
        ticket,
      });
      metrics.starts.inc({
        pool: this.#host.pool,
        answer: reply.ok ? 'started' : reply.error.kind,
      });
      if (reply.ok) {
        this.#host.recordClock(reply.value, clock.getNow());
        started.answeredAtMs = clock.getNow();
        if (run.phase === RunPhase.StartSent) {
          started.phase = RunPhase.Running;
        }
        this.#session.requestHold();
        return;
      }
      logger.recordWarning('start-refused', {
        ...describeRun(run),
        attempt,
        refusal: reply.error.kind,
        cause: reply.error.cause,
      });
      if (reply.error.kind !== OrderRefusal.Unanswered) {
        this.#applyRefusal(run, reply.error, mayHaveStarted);
        return;
      }
      mayHaveStarted = true;
      const sentAtMs = clock.getNow();
      this.#host.unansweredStarts.set(run.key, { task: task.name, run: number, sentAtMs });
      this.#session.recordDoubt();
    }
    if (mayHaveStarted) {
      this.markUnclear(run);
    } else {
      this.#session.loseRun(run);
    }
    this.#session.requestHold();
  }

  /** Orders a run to stop; the session repeats the order until it is answered. */
  async stopRun(run: Run, reason: string): Promise<void> {
    const stopped = run;
    if (run.phase === RunPhase.Stopping) {
      return;
    }
    stopped.phase = RunPhase.Stopping;
    stopped.answeredAtMs = null;
    this.#context.logger.recordInfo('stop-ordered', { ...describeRun(run), reason });
    await this.sendStop(run);
    this.#session.requestHold();
  }

  /** Sends the order to stop a run once. */
  async sendStop(run: Run): Promise<void> {
    const { orders, term, clock, logger, ownership } = this.#context;
    const { task, number } = run;
    const reply = await orders.stop(this.#host.life, {
      task: task.name,
      run: number,
      epoch: term.epoch,
    });
    if (reply.ok) {
      const stopped = run;
      stopped.answeredAtMs = clock.getNow();
      return;
    }
    if (reply.error.kind === OrderRefusal.Fenced) {
      ownership.endTerm(`host ${this.#host.life.id} obeys a later owner`);
    }
    if (reply.error.kind === OrderRefusal.Unanswered) {
      this.#session.recordDoubt();
    }
    logger.recordWarning('stop-refused', {
      ...describeRun(run),
      refusal: reply.error.kind,
      cause: reply.error.cause,
    });
  }

  #applyRefusal(run: Run, error: OrderError, mayHaveStarted: boolean): void {
    const { clock, ownership } = this.#context;
    const { task } = run;
    if (error.clockMs !== null) {
      this.#host.recordClock(error.clockMs, clock.getNow());
    }
    task.notBeforeMs = Math.max(task.notBeforeMs, clock.getNow() + REFUSAL_PAUSE_MS);
    switch (error.kind) {
      case OrderRefusal.Fenced:
        ownership.endTerm(`host ${this.#host.life.id} obeys a later owner`);
        return;
      case OrderRefusal.OtherLife:
        this.#session.recordLifeEnd('another life answers at the address');
        return;
      case OrderRefusal.Unhealthy:
        this.#host.unhealthyUntilMs = clock.getNow() + UNHEALTHY_PAUSE_MS;
        break;
      default:
    }
    if (mayHaveStarted || error.kind === OrderRefusal.Superseded) {
      this.markUnclear(run);
    } else {
      this.#session.loseRun(run);
    }
    this.#session.requestHold();
  }

  /** The run may or may not be on the host until a stop of it was answered. */
  markUnclear(run: Run): void {
    const unclear = run;
    if (run.phase !== RunPhase.Stopping) {
      unclear.phase = RunPhase.Unknown;
    }
    unclear.answeredAtMs = null;
  }
}
