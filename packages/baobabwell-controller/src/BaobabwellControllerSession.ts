import type { TermContext } from './BaobabwellControllerContext';
import type { Host } from './BaobabwellControllerHost';
import type { Run, Task } from '@baobabwell/jobs';
import type { EndedRun, HostReport, OrderError } from '@baobabwell/platform';

import { JobState, RunEndEffect, RunPhase } from '@baobabwell/jobs';
import { OWNER_GRACE_MS, OWNER_LEASE_MS } from '@baobabwell/ownership';
import { OrderRefusal } from '@baobabwell/platform';
import { Activity } from '@baobabwell/processor-time';
import { WakeSignal } from '@baobabwell/utils';

import { BestEffortThrottle } from './BaobabwellControllerBestEffortThrottle';
import {
  END_STORE_TIMEOUT_MS,
  HOST_RETRY_MS,
  KEEP_ALIVE_MS,
  MAX_CLOCK_DRIFT,
} from './BaobabwellControllerConstants';
import { canAdoptRun } from './BaobabwellControllerCopies';
import { findFormerRun } from './BaobabwellControllerFormerRuns';
import { HostCrashes } from './BaobabwellControllerHostCrashes';
import {
  recordHostRestart,
  recordIgnoredEnd,
  recordLeaseExpiry,
  recordLostRun,
  recordReportPositions,
  RunLossGround,
} from './BaobabwellControllerHostLog';
import { recordJobEnd, stopFailedJob } from './BaobabwellControllerJobEnds';
import { RunOrders } from './BaobabwellControllerOrders';
import { describeRun } from './BaobabwellControllerRunLog';

/** Longest wait of a session that has nothing to send, in ms. */
const MAX_IDLE_WAIT_MS = 10_000;

/**
 * Communicates with one tracked host. The state of its runs changes only through this session.
 */
export class HostSession {
  readonly host: Host;

  readonly #context: TermContext;

  readonly #throttle: BestEffortThrottle;

  readonly #orders: RunOrders;

  readonly #crashes: HostCrashes;

  readonly #wakeSignal: WakeSignal;

  /** Aborted for a hold call that must not wait; kept for the next one otherwise. */
  #holdAbort = new AbortController();

  #hasEnded = false;

  constructor(context: TermContext, host: Host) {
    this.#context = context;
    this.host = host;
    this.#wakeSignal = new WakeSignal(context.clock);
    this.#throttle = new BestEffortThrottle(context, host);
    this.#crashes = new HostCrashes(context, host);
    this.#orders = new RunOrders(context, host, {
      requestHold: () => this.requestHold(),
      recordUnansweredOrder: () => this.#recordUnansweredOrder(),
      loseRun: (run) => this.#loseRun(run, RunLossGround.NotStarted),
      recordIncarnationEnd: (reason) => this.recordIncarnationEnd(reason),
      hasEnded: () => this.#hasEnded,
    });
  }

  /** Ends a wait of the session because there is something to send or to request. */
  requestHold(): void {
    this.#wakeSignal.notify();
  }

  /** Sends hold calls while the host requires them, and resolves unknown outcomes. */
  async run(): Promise<void> {
    const { signal, ownership } = this.#context;
    while (!signal.aborted && !this.#hasEnded) {
      if (ownership.getLeaseAgeMs() > OWNER_LEASE_MS + KEEP_ALIVE_MS) {
        await this.#wait(HOST_RETRY_MS);
      } else if (this.#shouldHold()) {
        // A stop is repeated whether or not the host answers the hold call.
        await Promise.all([this.#holdOnce(), this.#orders.repeatStops()]);
      } else if (this.host.listedWorker === null) {
        this.#hasEnded = true;
      } else {
        await this.#wait(MAX_IDLE_WAIT_MS);
      }
    }
    this.#wakeSignal.close();
    if (!signal.aborted) {
      this.#crashes.recordDisappearance();
    }
  }

  /** Starts a run that was placed on the host. */
  async startRun(run: Run, ticket: string | null): Promise<void> {
    const started = run;
    if (run.phase === RunPhase.StartPending) {
      await this.#context.storeProgress(run.task.step.job);
      if (this.#context.signal.aborted || run.phase !== RunPhase.StartPending) {
        return;
      }
      started.phase = RunPhase.StartSent;
    }
    await this.#orders.startRun(run, ticket);
  }

  /** Orders a run to stop; the session repeats the order until the host answers it. */
  async stopRun(run: Run, reason: string): Promise<void> {
    await this.#orders.stopRun(run, reason);
  }

  /** Ends the session: another incarnation answers, or the host is listed with another pool or address. */
  recordIncarnationEnd(reason: string): void {
    this.#context.logger.recordInfo('host-life-ended', { host: this.host.incarnation.id, reason });
    this.#hasEnded = true;
    this.#crashes.recordIncarnationEnd();
    this.#context.hostObserver.removeHost(this.host.incarnation.id);
    this.#abandonRuns(RunLossGround.IncarnationEnded);
    this.requestHold();
  }

  /**
   * Records that the host restarted under the same id. Its runs stay tracked until the new incarnation
   * has reported: a start may have reached it before this process observed the restart.
   */
  recordRestart(bornMs: number | null): void {
    const { clock, bounds } = this.#context;
    recordHostRestart(this.#context, this.host, bornMs);
    this.#crashes.recordRestart();
    this.#context.hostObserver.removeHost(this.host.incarnation.id);
    const nowMs = clock.getNow();
    this.host.recordRestart(bornMs, nowMs + bounds.maxHostLeaseMs / (1 - MAX_CLOCK_DRIFT));
    this.host.history.recordRestart(nowMs);
    // An unanswered order may still reach the new incarnation, so these runs are stopped there.
    [...this.host.runs.values()]
      .filter(({ key }) => this.host.unansweredStarts.has(key))
      .forEach((run) => this.#orders.markOutcomeUnknown(run));
    this.host.markLateStarts(nowMs);
    void this.#orders.stopUnwantedRuns();
    this.requestHold();
  }

  /** Records that the host was moved or went down, and calls it to check that it no longer answers. */
  recordDeparture(reason: string): void {
    this.#context.logger.recordInfo('host-departed', { host: this.host.incarnation.id, reason });
    this.#recordUnansweredOrder();
    this.#crashes.recordDeparture();
    this.#context.hostObserver.removeHost(this.host.incarnation.id);
  }

  #shouldHold(): boolean {
    const { host } = this;
    const hasRuns = host.runs.size > 0 || host.unwantedRuns.size > 0;
    if (host.listedWorker === null && !hasRuns && host.isReconciled) {
      return false;
    }
    return (
      hasRuns ||
      !host.isReconciled ||
      !host.hasClock ||
      !host.isReachable ||
      host.state.hasUnacknowledgedEnds() ||
      (host.mayBeStored && this.#context.hostMajority.shouldHoldAll())
    );
  }

  async #holdOnce(): Promise<void> {
    const { clock, orders, term, ownership, hostMajority, processorTime } = this.#context;
    const { host } = this;
    const sentAtMs = clock.getNow();
    const isResync = !host.isReconciled || !host.hasClock || !host.isReachable;
    const { state } = host;
    // A host that did not answer may have restarted; its ends are acknowledged once it has reported.
    const acknowledgedPosition =
      host.isReachable && host.hasClock ? state.getPendingAcknowledgement() : 0;
    // A run end that is not acknowledged before the lease expires does not count.
    const shouldRenewLease =
      (host.runs.size > 0 || state.hasUnacknowledgedEnds()) && hostMajority.canRenewLeases();
    const order = {
      epoch: term.epoch,
      acknowledgedPosition,
      // The lease of an unresponsive host is not extended, so that its runs expire eventually.
      leaseEndMs:
        shouldRenewLease && (!isResync || host.hasAnsweredRecently(sentAtMs))
          ? state.extendLease(sentAtMs, ownership.getLeaseExtensionMs())
          : null,
      waitMs: isResync ? 0 : host.getHoldWaitMs(),
      signal: this.#holdAbort.signal,
    };
    const reply = await processorTime.measure(Activity.Holds, async () =>
      orders.hold(host.incarnation, order),
    );
    if (this.#context.signal.aborted || this.#hasEnded) {
      return;
    }
    if (!reply.ok) {
      await this.#handleHoldFailure(reply.error);
      return;
    }
    state.acknowledgedEndPosition = Math.max(state.acknowledgedEndPosition, acknowledgedPosition);
    if (host.isOutdated(reply.value, state)) {
      const { bornMs } = reply.value;
      this.#context.logger.recordWarning('report-outdated', {
        host: host.incarnation.id,
        bornMs: host.bornMs,
        reportBornMs: bornMs,
        tookMs: Math.round(clock.getNow() - sentAtMs),
      });
      return;
    }
    hostMajority.recordAnswer(host, sentAtMs);
    if (order.leaseEndMs !== null) {
      this.#context.leaseLog.recordRenewal(host, sentAtMs);
    }
    if (!host.isReachable) {
      this.#context.logger.recordInfo('host-reachable', { host: host.incarnation.id });
      host.failedAttempts = 0;
    }
    const { value: report } = reply;
    processorTime.measure(Activity.Reports, () =>
      this.#applyReport(report, { sentAtMs, acknowledgedPosition, isPrompt: !isResync }),
    );
    this.#context.requestDispatch();
    await this.#resolveUnknownOutcomes();
    this.#throttle.apply();
    await this.#waitForStoredEnds();
  }

  /**
   * Waits until the ends that the host reported are stored, so that the next hold call acknowledges them.
   * Starts on the host do not end the wait: the next ends can be reported together.
   */
  async #waitForStoredEnds(): Promise<void> {
    const { clock, signal } = this.#context;
    const { host } = this;
    const untilMs = clock.getNow() + END_STORE_TIMEOUT_MS;
    while (host.isStoringEnds() && !this.#hasEnded && !signal.aborted && clock.getNow() < untilMs) {
      await this.#wait(untilMs - clock.getNow());
    }
  }

  async #handleHoldFailure(error: OrderError): Promise<void> {
    const { clock, logger, ownership, hostMajority } = this.#context;
    const { host } = this;
    if (error.kind === OrderRefusal.Fenced) {
      ownership.endTerm(`host ${host.incarnation.id} accepts orders only from a later owner`);
      return;
    }
    if (error.kind === OrderRefusal.OtherIncarnation) {
      this.recordIncarnationEnd('another incarnation answers at the address');
      return;
    }
    host.failedAttempts += 1;
    if (host.failedAttempts === 1) {
      this.#crashes.recordSilence();
      const { kind, cause } = error;
      logger.recordWarning('host-unreachable', { host: host.incarnation.id, refusal: kind, cause });
    }
    if (error.kind === OrderRefusal.ConnectionRefused) {
      this.#crashes.recordRefusedConnection();
    }
    if (clock.getNow() > host.getExpiredAtMs(hostMajority.getFormerLeasesEndMs(host))) {
      if (host.runs.size > 0 || !host.isReconciled) {
        recordLeaseExpiry(this.#context, host);
      }
      host.isReconciled = true;
      this.#crashes.recordLeaseExpiry();
      this.#abandonRuns(RunLossGround.LeaseExpired);
      if (host.listedWorker === null) {
        this.#hasEnded = true;
        this.#crashes.recordDisappearance();
      }
    }
    await this.#wait(host.getRetryMs());
  }

  /** Marks the host unreachable after an unanswered order: it gets no work until it answers. */
  #recordUnansweredOrder(): void {
    if (this.host.isReachable) {
      this.#context.logger.recordWarning('host-in-doubt', { host: this.host.incarnation.id });
      this.#crashes.recordSilence();
    }
    this.host.failedAttempts += 1;
    this.#holdAbort.abort();
    this.#holdAbort = new AbortController();
    this.requestHold();
  }

  #abandonRuns(ground: RunLossGround): void {
    [...this.host.runs.values()].forEach((run) => this.#loseRun(run, ground));
    this.#context.requestDispatch();
  }

  #applyReport(
    report: HostReport,
    hold: {
      readonly sentAtMs: number;
      readonly acknowledgedPosition: number;
      /** The host had answered the call before, so that the ends are recent. */
      readonly isPrompt: boolean;
    },
  ): void {
    const { host } = this;
    const nowMs = this.#context.clock.getNow();
    if (report.bornMs !== null && host.bornMs !== null && report.bornMs !== host.bornMs) {
      this.recordRestart(report.bornMs);
    }
    host.bornMs ??= report.bornMs;
    const { state } = host;
    state.recordClock(report.clockMs, nowMs);
    recordReportPositions(this.#context, host, report, hold);
    if (!host.isRegistered) {
      this.#context.requestCommit();
    }
    const reportedRuns = new Set<string>();
    report.ended.forEach((endedRun) => {
      const { position, task, run } = endedRun;
      reportedRuns.add(`${task}#${run}`);
      if (position > state.appliedEndPosition) {
        state.appliedEndPosition = position;
        this.#applyEnd(endedRun, hold.isPrompt);
      }
    });
    report.active.forEach(({ task, run, checkpoint, progressPercent, reading }) => {
      reportedRuns.add(`${task}#${run}`);
      const trackedRun = host.runs.get(`${task}#${run}`) ?? this.#adoptRun(task, run);
      if (trackedRun !== null) {
        trackedRun.recordReport(progressPercent, reading, nowMs);
        this.#context.hostObserver.recordProgress(host, trackedRun);
        trackedRun.task.recordCheckpoint(checkpoint);
      }
    });
    if (!report.isPartial) {
      this.#crashes.recordReport(reportedRuns);
      this.#loseMissingRuns(reportedRuns, hold.sentAtMs);
    }
    if (!host.isReconciled && !report.isPartial) {
      host.isReconciled = true;
      this.#context.logger.recordInfo('host-settled', {
        host: host.incarnation.id,
        pool: host.pool,
        runs: host.runs.size,
        ends: report.ended.length,
      });
    }
    if (state.hasUnstoredEnds()) {
      this.#context.requestCommit();
    }
  }

  #applyEnd(endedRun: EndedRun, isPrompt: boolean): void {
    const { task: name, run: number, end, checkpoint } = endedRun;
    const { jobRegistry, logger, metrics, clock } = this.#context;
    const { host } = this;
    const run =
      host.runs.get(`${name}#${number}`) ?? findFormerRun(this.#context, host, { name, number });
    if (run === null) {
      recordIgnoredEnd(this.#context, host, endedRun);
      return;
    }
    host.removeRun(run);
    const effect = jobRegistry.applyEnd(run, end, checkpoint, clock.getNow());
    this.#context.runDurations.recordEnd(host, run, end, isPrompt);
    metrics.runs.inc({ pool: host.pool, end });
    this.#context.hostObserver.recordEnd(host, run, end);
    logger.recordInfo('run-ended', { ...describeRun(run), end, effect });
    const { job } = run.task.step;
    this.#context.copies.recordEnd(run, effect);
    if (effect === RunEndEffect.TaskDone || effect === RunEndEffect.JobFailed) {
      [...run.task.runs].forEach((copy) => this.#context.stopRun(copy, 'another copy ended'));
    }
    if (job.state === JobState.Failed && effect === RunEndEffect.JobFailed) {
      stopFailedJob(this.#context, run);
    } else if (job.state === JobState.Completed) {
      recordJobEnd(this.#context, job, run);
    }
  }

  /**
   * Tracks a run that the host reported but that this owner did not know. A run that is not to go on is
   * stopped; it uses the capacity of the host until its end is reported.
   *
   * @returns `null` for a run of an unknown task.
   */
  #adoptRun(name: string, number: number): Run | null {
    const { jobRegistry, logger, term } = this.#context;
    const { host } = this;
    const task = jobRegistry.findTask(name);
    const canAdopt = task !== null && canAdoptRun(host, task);
    logger.recordInfo(canAdopt ? 'run-adopted' : 'run-unwanted', {
      host: host.incarnation.id,
      task: name,
      run: number,
      epoch: term.epoch,
    });
    if (task === null) {
      host.unwantedRuns.set(`${name}#${number}`, { task: name, run: number });
      return null;
    }
    const run = task.addRun(host.incarnation.id, number, host.trackedSinceMs);
    run.phase = RunPhase.Running;
    run.isStartKnown = false;
    run.answeredAtMs = host.trackedSinceMs;
    run.startClockMs = host.state.lastClockMs;
    host.addRun(run);
    this.#context.copies.recordRun(run);
    if (canAdopt) {
      task.step.job.hasStarted = true;
    } else {
      void this.#orders.stopRun(run, 'the run is unwanted');
    }
    return run;
  }

  /**
   * Records as lost the runs whose last order was answered before a report was requested but which are
   * missing from that report.
   */
  #loseMissingRuns(reportedRuns: ReadonlySet<string>, sentAtMs: number): void {
    [...this.host.runs.values()].forEach((run) => {
      const isOlderThanReport = run.answeredAtMs !== null && run.answeredAtMs < sentAtMs;
      if (isOlderThanReport && !reportedRuns.has(run.key)) {
        this.#loseRun(run, RunLossGround.Vanished);
      }
    });
  }

  /** Stops the runs that may or may not be on the host, after a report that did not contain them. */
  async #resolveUnknownOutcomes(): Promise<void> {
    await this.#orders.resolveUnknownRuns();
    if (this.host.hasUnresolvedRuns()) {
      await this.#wait(HOST_RETRY_MS);
    }
  }

  #loseRun(run: Run, ground: RunLossGround): void {
    // An order can outlive its run, which was then recorded as lost before.
    if (this.host.runs.has(run.key)) {
      recordLostRun(this.#context, this.host, run, ground);
      this.#context.runDurations.recordLoss(this.host, run);
    }
    this.host.removeRun(run);
    this.#context.jobRegistry.removeLostRun(run);
    if (ground !== RunLossGround.NotStarted) {
      this.#setEarliestRestart(run.task);
    }
    this.#context.requestDispatch();
  }

  /**
   * Delays a task whose run was lost without an answer of its host while this owner cannot renew: a
   * successor may have reached the host, and may keep the run or restart it.
   */
  #setEarliestRestart(delayed: Task): void {
    const { ownership, clock } = this.#context;
    const task = delayed;
    if (!ownership.canAct()) {
      const graceMs = Math.max(0, OWNER_GRACE_MS - ownership.getLeaseAgeMs());
      task.notBeforeMs = Math.max(task.notBeforeMs, clock.getNow() + graceMs);
    }
  }

  async #wait(waitMs: number): Promise<void> {
    await this.#wakeSignal.wait(waitMs, this.#context.signal);
  }
}
