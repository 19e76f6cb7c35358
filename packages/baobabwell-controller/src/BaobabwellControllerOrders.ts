import type { TermContext } from './BaobabwellControllerContext';
import type { Host } from './BaobabwellControllerHost';
import type { Run } from '@baobabwell/jobs';
import type { OrderError } from '@baobabwell/platform';

import { RunPhase } from '@baobabwell/jobs';
import { OrderRefusal } from '@baobabwell/platform';

import {
  MAX_START_ATTEMPTS,
  REFUSAL_DELAY_MS,
  UNHEALTHY_BACKOFF_MS,
} from './BaobabwellControllerConstants';
import { describeLongRunningStop } from './BaobabwellControllerHostLog';
import { describeRun } from './BaobabwellControllerRunLog';

/** Callbacks from orders to the session of their host. */
export type OrderListener = {
  readonly requestHold: () => void;
  /** Records that the host did not answer an order. */
  readonly recordUnansweredOrder: () => void;
  /** Records a run that is not on the host and will never start there. */
  readonly loseRun: (run: Run) => void;
  readonly recordIncarnationEnd: (reason: string) => void;
  readonly hasEnded: () => boolean;
};

/** Starts and stops runs on one host. */
export class RunOrders {
  readonly #context: TermContext;

  readonly #host: Host;

  readonly #listener: OrderListener;

  constructor(context: TermContext, host: Host, listener: OrderListener) {
    this.#context = context;
    this.#host = host;
    this.#listener = listener;
  }

  /**
   * Starts a run that was placed on the host; retries while the host does not answer. Stops when the term
   * ends: the ownership may be that of the next term of this process by then.
   */
  async startRun(run: Run, ticket: string | null): Promise<void> {
    const { clock, orders, ownership, term, logger, metrics, signal } = this.#context;
    const started = run;
    let mayHaveStarted = false;
    for (let attempt = 0; attempt < MAX_START_ATTEMPTS; attempt += 1) {
      // The run was given up while an order was under way; its task may run elsewhere by now.
      if (!this.#host.runs.has(run.key)) {
        return;
      }
      const isFutile = mayHaveStarted && !this.#host.isReachable;
      if (!this.#canStart(run) || (isFutile && attempt > 1)) {
        break;
      }
      const { task, number } = run;
      const { state } = this.#host;
      const reply = await orders.start(this.#host.incarnation, {
        task: task.name,
        run: number,
        payload: task.step.job.record.spec.payload,
        leaseEndMs: state.extendLease(clock.getNow(), ownership.getLeaseExtensionMs()),
        epoch: term.epoch,
        checkpoint: run.checkpoint,
        ticket,
        isAllowed: () => this.#canStart(run),
      });
      if (signal.aborted) {
        return;
      }
      metrics.starts.inc({
        pool: this.#host.pool,
        answer: reply.ok ? 'started' : reply.error.kind,
      });
      if (reply.ok && this.#host.state !== state) {
        // An answer of the former incarnation says nothing of the present one.
        mayHaveStarted = true;
        break;
      }
      if (reply.ok) {
        state.recordClock(reply.value, clock.getNow());
        // While the run is to be stopped, only the answer to that order counts.
        if (run.phase !== RunPhase.Stopping) {
          started.answeredAtMs = clock.getNow();
        }
        started.startClockMs = reply.value;
        task.step.job.hasRun = true;
        if (run.phase === RunPhase.StartSent) {
          started.phase = RunPhase.Running;
        }
        this.#listener.requestHold();
        return;
      }
      logger.recordWarning('start-refused', {
        ...describeRun(run),
        attempt,
        refusal: reply.error.kind,
        cause: reply.error.cause,
      });
      if (reply.error.clockMs !== null) {
        state.recordClock(reply.error.clockMs, clock.getNow());
      }
      if (reply.error.kind === OrderRefusal.NotSent) {
        break;
      }
      if (reply.error.kind === OrderRefusal.ConnectionRefused) {
        this.#listener.recordUnansweredOrder();
        break;
      }
      if (reply.error.kind !== OrderRefusal.Unanswered) {
        this.#applyRefusal(run, reply.error, mayHaveStarted);
        return;
      }
      mayHaveStarted = true;
      const sentAtMs = clock.getNow();
      this.#host.unansweredStarts.set(run.key, { task: task.name, run: number, sentAtMs });
      this.#listener.recordUnansweredOrder();
    }
    if (mayHaveStarted) {
      this.markOutcomeUnknown(run);
    } else {
      this.#listener.loseRun(run);
    }
    this.#listener.requestHold();
  }

  /**
   * Returns true while a run may start on the host. It may not once its order to stop was sent, its job must
   * not start by the owner's lease or by the age of what the owner knows, the host drains or left, or its
   * data centre is evacuated.
   */
  #canStart({ key, phase, task }: Run): boolean {
    const { runs, listedWorker, isEvacuated } = this.#host;
    const maxVersion = this.#context.startGate.findMaxStartableVersion() ?? 0;
    return (
      runs.has(key) &&
      phase !== RunPhase.Stopping &&
      task.step.job.acceptedVersion <= maxVersion &&
      listedWorker?.isDraining === false &&
      !isEvacuated &&
      !this.#listener.hasEnded()
    );
  }

  /** Orders a run to stop; the session repeats the order until the host answers it. */
  async stopRun(run: Run, reason: string): Promise<void> {
    const stopped = run;
    if (run.phase === RunPhase.Stopping) {
      return;
    }
    // Before the phase changes, so that the fields show on what the order was decided.
    const known = describeLongRunningStop(this.#context, this.#host, run);
    stopped.phase = RunPhase.Stopping;
    stopped.answeredAtMs = null;
    this.#context.logger.recordInfo('stop-ordered', { ...describeRun(run), reason, ...known });
    await this.sendStop(run);
    this.#listener.requestHold();
  }

  /** Sends the order to stop a run once. */
  async sendStop(run: Run): Promise<void> {
    const { orders, term, clock, logger, ownership, signal } = this.#context;
    const { task, number } = run;
    const { state } = this.#host;
    const reply = await orders.stop(this.#host.incarnation, {
      task: task.name,
      run: number,
      epoch: term.epoch,
    });
    if (signal.aborted) {
      return;
    }
    if (reply.ok) {
      if (this.#host.state === state) {
        const stopped = run;
        stopped.answeredAtMs = clock.getNow();
      }
      return;
    }
    if (reply.error.kind === OrderRefusal.Fenced) {
      ownership.endTerm(`host ${this.#host.incarnation.id} accepts orders only from a later owner`);
    }
    if (
      reply.error.kind === OrderRefusal.Unanswered ||
      reply.error.kind === OrderRefusal.ConnectionRefused
    ) {
      this.#listener.recordUnansweredOrder();
    }
    logger.recordWarning('stop-refused', {
      ...describeRun(run),
      refusal: reply.error.kind,
      cause: reply.error.cause,
    });
  }

  /** Sends the orders to stop runs that the host has not answered. */
  async repeatStops(): Promise<void> {
    await Promise.all([this.#sendPendingStops(RunPhase.Stopping), this.stopUnwantedRuns()]);
  }

  /** Stops the runs that may or may not be on the host, after a report that did not contain them. */
  async resolveUnknownRuns(): Promise<void> {
    await this.#sendPendingStops(RunPhase.Unknown);
  }

  /** Stops runs that must not be on the host, which refuses them from then on. */
  async stopUnwantedRuns(): Promise<void> {
    const { orders, term, signal, logger } = this.#context;
    const { incarnation, state, unwantedRuns } = this.#host;
    await Promise.all(
      [...unwantedRuns].map(async ([key, { task, run }]) => {
        const reply = await orders.stop(incarnation, { task, run, epoch: term.epoch });
        if (reply.ok && !signal.aborted && this.#host.state === state) {
          unwantedRuns.delete(key);
        }
        if (!reply.ok) {
          const { kind, cause } = reply.error;
          const host = incarnation.id;
          logger.recordWarning('stop-refused', { host, task, run, refusal: kind, cause });
        }
      }),
    );
  }

  async #sendPendingStops(stoppedPhase: RunPhase): Promise<void> {
    const pending = [...this.#host.runs.values()].filter(
      ({ phase, answeredAtMs }) => phase === stoppedPhase && answeredAtMs === null,
    );
    await Promise.all(pending.map(async (run) => this.sendStop(run)));
  }

  #applyRefusal(run: Run, error: OrderError, mayHaveStarted: boolean): void {
    const { clock, ownership } = this.#context;
    const { task } = run;
    task.notBeforeMs = Math.max(task.notBeforeMs, clock.getNow() + REFUSAL_DELAY_MS);
    switch (error.kind) {
      case OrderRefusal.Fenced:
        ownership.endTerm(
          `host ${this.#host.incarnation.id} accepts orders only from a later owner`,
        );
        return;
      case OrderRefusal.OtherIncarnation:
        this.#listener.recordIncarnationEnd('another incarnation answers at the address');
        return;
      case OrderRefusal.Unhealthy:
        this.#host.unhealthyUntilMs = clock.getNow() + UNHEALTHY_BACKOFF_MS;
        break;
      default:
    }
    if (mayHaveStarted || error.kind === OrderRefusal.Superseded) {
      this.markOutcomeUnknown(run);
    } else {
      this.#listener.loseRun(run);
    }
    this.#listener.requestHold();
  }

  /** Marks a run as possibly on the host, until the host answers an order to stop it. */
  markOutcomeUnknown(run: Run): void {
    const unresolved = run;
    if (run.phase !== RunPhase.Stopping) {
      unresolved.phase = RunPhase.Unknown;
    }
    unresolved.answeredAtMs = null;
  }
}
