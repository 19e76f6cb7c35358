import type { TermContext } from './BaobabwellControllerContext';
import type { Host } from './BaobabwellControllerHost';
import type { RunEnd } from '@baobabwell/jobs';
import type { HostReport, OrderError } from '@baobabwell/platform';

import { RunEndEffect, JobState, Run, RunPhase, TaskPhase } from '@baobabwell/jobs';
import { FORMER_OWNER_GRACE_MS, OWNER_LEASE_MS } from '@baobabwell/ownership';
import { OrderRefusal } from '@baobabwell/platform';
import { Waker } from '@baobabwell/utils';

import {
  CLOCK_DRIFT,
  HOLD_WAIT_MS,
  HOST_LEASE_MS,
  HOST_RETRY_MS,
  KEEP_ALIVE_MS,
  LAPSE_MARGIN_MS,
  LATE_START_MS,
  MAX_RETRY_MS,
  PACED_HOLD_WAIT_MS,
  STORE_PATIENCE_MS,
} from './BaobabwellControllerConstants';
import { recordJobEnd } from './BaobabwellControllerJobEnds';
import { describeRun, RunOrders } from './BaobabwellControllerOrders';
import { PaceKeeper } from './BaobabwellControllerPace';

/** Longest time that leases given by a former owner last after a takeover, in ms. */
const FORMER_LEASE_MS = FORMER_OWNER_GRACE_MS + HOST_LEASE_MS / (1 - CLOCK_DRIFT) + LAPSE_MARGIN_MS;

/** Longest pause of a session that has nothing to ask, in ms. */
const IDLE_PAUSE_MS = 10_000;

/** Speaks with one life of a host: the only place where its runs change. */
export class HostSession {
  readonly host: Host;

  readonly #context: TermContext;

  readonly #pace: PaceKeeper;

  readonly #orders: RunOrders;

  readonly #waker: Waker;

  #cutHold: (() => void) | null = null;

  #isOver = false;

  constructor(context: TermContext, host: Host) {
    this.#context = context;
    this.host = host;
    this.#waker = new Waker(context.clock);
    this.#pace = new PaceKeeper(context, host);
    this.#orders = new RunOrders(context, host, {
      requestHold: () => this.requestHold(),
      recordDoubt: () => this.#recordDoubt(),
      loseRun: (run) => this.#loseRun(run),
      recordLifeEnd: (reason) => this.recordLifeEnd(reason),
      isOver: () => this.#isOver,
    });
  }

  /** Ends a pause of the session: there is something to ask or to tell. */
  requestHold(): void {
    this.#waker.wake();
  }

  /** Holds the host while it is of use, and resolves what stayed unclear. */
  async run(): Promise<void> {
    const { signal } = this.#context;
    while (!signal.aborted && !this.#isOver) {
      if (this.#needsHold()) {
        await this.#holdOnce();
      } else if (this.host.listed === null) {
        this.#isOver = true;
      } else {
        await this.#pause(IDLE_PAUSE_MS);
      }
    }
  }

  /** Starts a run that was placed here. */
  async startRun(run: Run, ticket: string | null): Promise<void> {
    await this.#orders.startRun(run, ticket);
  }

  /** Orders a run to stop; the session repeats the order until it is answered. */
  async stopRun(run: Run, reason: string): Promise<void> {
    await this.#orders.stopRun(run, reason);
  }

  /** The host's entry is gone or names another life. */
  recordLifeEnd(reason: string): void {
    this.#context.logger.recordInfo('host-life-ended', { host: this.host.life.id, reason });
    this.#isOver = true;
    this.#abandonRuns();
    this.requestHold();
  }

  /**
   * The host began a new life under the same id. Runs stay known until the new life was asked: a start
   * may have reached it before this process learnt of it.
   */
  recordRebirth(bornMs: number | null): void {
    const { logger, clock, bounds } = this.#context;
    logger.recordWarning('host-reborn', { host: this.host.life.id, bornMs });
    this.host.recordRebirth(bornMs, clock.getNow() + bounds.maxHostLeaseMs / (1 - CLOCK_DRIFT));
    // An order that was not answered may still reach the new life: these runs are stopped there.
    [...this.host.runs.values()]
      .filter(({ key }) => this.host.unansweredStarts.has(key))
      .forEach((run) => this.#orders.markUnclear(run));
    void this.#closeLateStarts();
    this.requestHold();
  }

  /** The host was moved or went down, so that it should answer no more: makes sure of that. */
  recordDeparture(reason: string): void {
    this.#context.logger.recordInfo('host-departed', { host: this.host.life.id, reason });
    this.#recordDoubt();
  }

  /** Makes the host refuse starts of its former life, whose runs are elsewhere by now. */
  async #closeLateStarts(): Promise<void> {
    const { clock, orders, term } = this.#context;
    const nowMs = clock.getNow();
    const late = [...this.host.unansweredStarts.values()];
    this.host.unansweredStarts.clear();
    await Promise.all(
      late
        .filter(({ sentAtMs }) => nowMs - sentAtMs < LATE_START_MS)
        .map(async ({ task, run }) =>
          orders.stop(this.host.life, { task, run, epoch: term.epoch }),
        ),
    );
  }

  #needsHold(): boolean {
    const { host } = this;
    if (host.listed === null && host.runs.size === 0 && host.isSettled) {
      return false;
    }
    return (
      host.runs.size > 0 ||
      !host.isSettled ||
      !host.hasClock ||
      !host.isReachable ||
      host.appliedEnd > host.acknowledgedEnd
    );
  }

  async #holdOnce(): Promise<void> {
    const { clock, orders, term, ownership } = this.#context;
    const { host } = this;
    if (ownership.getLeaseAgeMs() > OWNER_LEASE_MS + KEEP_ALIVE_MS) {
      await this.#pause(HOST_RETRY_MS);
      return;
    }
    const sentAtMs = clock.getNow();
    const isFirst = !host.isSettled || !host.hasClock || !host.isReachable;
    const acknowledgedEnd = host.storedEnd;
    // An end that is not acknowledged before the lease lapses does not count.
    const needsLease = host.runs.size > 0 || host.appliedEnd > host.acknowledgedEnd;
    const reply = await orders.hold(host.life, {
      epoch: term.epoch,
      acknowledgedEnd,
      // A host that does not answer gets no more time: what it runs has to lapse some day.
      leaseEndMs: isFirst || !needsLease ? null : host.extendLease(sentAtMs),
      waitMs: isFirst || host.runs.size === 0 ? 0 : this.#getWaitMs(),
      signal: this.#openHold(),
    });
    if (this.#context.signal.aborted || this.#isOver) {
      return;
    }
    if (!reply.ok) {
      await this.#handleHoldFailure(reply.error);
      return;
    }
    host.acknowledgedEnd = Math.max(host.acknowledgedEnd, acknowledgedEnd);
    if (!host.isReachable) {
      this.#context.logger.recordInfo('host-reachable', { host: host.life.id });
      host.failures = 0;
    }
    this.#applyReport(reply.value, sentAtMs);
    this.#context.requestDispatch();
    await this.#resolveUnclear();
    this.#pace.apply();
    if (host.appliedEnd > host.storedEnd) {
      await this.#pause(STORE_PATIENCE_MS);
    }
  }

  /** Opens a hold that a doubt about the host cuts short. */
  #openHold(): AbortSignal {
    const cut = new AbortController();
    this.#cutHold = () => cut.abort();
    return cut.signal;
  }

  #getWaitMs(): number {
    const { host } = this;
    if (host.hasUnclear()) {
      return 0;
    }
    return host.countServing() > 0 && host.countFilling() > 0 ? PACED_HOLD_WAIT_MS : HOLD_WAIT_MS;
  }

  async #handleHoldFailure(error: OrderError): Promise<void> {
    const { clock, logger, ownership } = this.#context;
    const { host } = this;
    if (error.kind === OrderRefusal.Fenced) {
      ownership.endTerm(`host ${host.life.id} obeys a later owner`);
      return;
    }
    if (error.kind === OrderRefusal.OtherLife) {
      this.recordLifeEnd('another life answers at the address');
      return;
    }
    host.failures += 1;
    if (host.failures === 1) {
      const { kind, cause } = error;
      logger.recordWarning('host-unreachable', { host: host.life.id, refusal: kind, cause });
    }
    if (clock.getNow() > host.getLapsedAtMs(FORMER_LEASE_MS)) {
      if (host.runs.size > 0 || !host.isSettled) {
        logger.recordWarning('host-lease-lapsed', { host: host.life.id, runs: host.runs.size });
      }
      host.isSettled = true;
      this.#abandonRuns();
      if (host.listed === null) {
        this.#isOver = true;
      }
    }
    await this.#pause(this.#getRetryMs());
  }

  /** A host on which nothing runs is asked less and less often. */
  #getRetryMs(): number {
    const { runs, isSettled, failures } = this.host;
    const isUrgent = runs.size > 0 || !isSettled;
    return isUrgent ? HOST_RETRY_MS : Math.min(MAX_RETRY_MS, HOST_RETRY_MS * 2 ** failures);
  }

  /** An order was not answered: no more work goes there until the host answers. */
  #recordDoubt(): void {
    if (this.host.isReachable) {
      this.#context.logger.recordWarning('host-in-doubt', { host: this.host.life.id });
    }
    this.host.failures += 1;
    this.#cutHold?.();
    this.requestHold();
  }

  #abandonRuns(): void {
    [...this.host.runs.values()].forEach((run) => this.#loseRun(run));
    this.#context.requestDispatch();
  }

  #applyReport(report: HostReport, sentAtMs: number): void {
    const { host } = this;
    const nowMs = this.#context.clock.getNow();
    if (report.bornMs !== null && host.bornMs !== null && report.bornMs !== host.bornMs) {
      this.recordRebirth(report.bornMs);
    }
    host.bornMs ??= report.bornMs;
    host.recordClock(report.clockMs, nowMs);
    if (!host.isRegistered) {
      this.#context.requestCommit();
    }
    const listed = new Set<string>();
    report.ended.forEach(({ position, task, run, end, checkpoint }) => {
      listed.add(`${task}#${run}`);
      if (position > host.appliedEnd) {
        host.appliedEnd = position;
        this.#applyEnd(task, run, end, checkpoint);
      }
    });
    report.active.forEach(({ task, run, checkpoint, progressPercent, reading }) => {
      listed.add(`${task}#${run}`);
      const known = host.runs.get(`${task}#${run}`) ?? this.#adoptRun(task, run);
      if (known !== null) {
        known.recordReport(progressPercent, reading, nowMs);
        const { task: knownTask } = known;
        if (checkpoint !== '') {
          knownTask.checkpoint = checkpoint;
        }
      }
    });
    this.#dropVanished(listed, sentAtMs);
    if (!host.isSettled) {
      host.isSettled = true;
      this.#context.logger.recordInfo('host-settled', {
        host: host.life.id,
        pool: host.pool,
        runs: host.runs.size,
        ends: report.ended.length,
      });
    }
    if (host.appliedEnd > host.storedEnd) {
      this.#context.requestCommit();
    }
  }

  #applyEnd(name: string, number: number, end: RunEnd, checkpoint: string): void {
    const { ledger, logger, metrics, clock } = this.#context;
    const { host } = this;
    const run = host.runs.get(`${name}#${number}`) ?? this.#findFormerRun(name, number);
    if (run === null) {
      logger.recordInfo('end-ignored', { host: host.life.id, task: name, run: number, end });
      return;
    }
    host.removeRun(run);
    const effect = ledger.applyEnd(run, end, checkpoint, clock.getNow());
    metrics.runs.inc({ pool: host.pool, end });
    logger.recordInfo('run-ended', { ...describeRun(run), end, effect });
    const { job } = run.task.step;
    if (effect === RunEndEffect.TaskDone || effect === RunEndEffect.JobFailed) {
      [...run.task.runs].forEach((copy) => this.#context.stopRun(copy, 'another copy ended'));
    }
    if (job.state === JobState.Failed && effect === RunEndEffect.JobFailed) {
      recordJobEnd(this.#context, job, run);
      ledger.listRuns(job).forEach((other) => this.#context.stopRun(other, 'the job failed'));
    } else if (job.state === JobState.Completed) {
      recordJobEnd(this.#context, job, run);
    }
  }

  /** An end of a run that an earlier owner started, while the host is first asked. */
  #findFormerRun(name: string, number: number): Run | null {
    if (this.host.isSettled) {
      return null;
    }
    const task = this.#context.ledger.findTask(name);
    return task === null ? null : new Run(task, number, this.host.life.id, this.host.knownSinceMs);
  }

  #adoptRun(name: string, number: number): Run | null {
    const { ledger, logger, term } = this.#context;
    const task = this.host.isSettled ? null : ledger.findTask(name);
    const isWanted =
      task !== null &&
      task.phase === TaskPhase.Waiting &&
      !task.step.job.isEnded &&
      !task.step.isDone();
    logger.recordInfo(isWanted ? 'run-adopted' : 'run-unwanted', {
      host: this.host.life.id,
      task: name,
      run: number,
      epoch: term.epoch,
    });
    if (isWanted) {
      const run = task.addRun(this.host.life.id, number, this.host.knownSinceMs);
      run.phase = RunPhase.Running;
      run.answeredAtMs = this.host.knownSinceMs;
      this.host.addRun(run);
      const { job } = task.step;
      job.hasStarted = true;
      return run;
    }
    void this.#context.orders.stop(this.host.life, { task: name, run: number, epoch: term.epoch });
    return null;
  }

  /** Runs that were answered before a report was asked for, and are not in it, are gone. */
  #dropVanished(listed: ReadonlySet<string>, sentAtMs: number): void {
    const { logger } = this.#context;
    [...this.host.runs.values()].forEach((run) => {
      const isOlder = run.answeredAtMs !== null && run.answeredAtMs < sentAtMs;
      if (isOlder && !listed.has(run.key)) {
        logger.recordWarning('run-vanished', { ...describeRun(run), phase: run.phase });
        this.#loseRun(run);
      }
    });
  }

  async #resolveUnclear(): Promise<void> {
    const pending = [...this.host.runs.values()].filter(
      ({ phase, answeredAtMs }) =>
        (phase === RunPhase.Unknown || phase === RunPhase.Stopping) && answeredAtMs === null,
    );
    await Promise.all(pending.map(async (run) => this.#orders.sendStop(run)));
    if (this.host.hasUnclear()) {
      await this.#pause(HOST_RETRY_MS);
    }
  }

  #loseRun(run: Run): void {
    this.host.removeRun(run);
    this.#context.ledger.removeLostRun(run);
    this.#context.requestDispatch();
  }

  async #pause(waitMs: number): Promise<void> {
    await this.#waker.wait(waitMs, this.#context.signal);
  }
}
