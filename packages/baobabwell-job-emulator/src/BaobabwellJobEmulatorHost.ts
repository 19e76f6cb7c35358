import type { JobOracle } from './BaobabwellJobEmulatorOracle';
import type { Resources } from '@baobabwell/jobs';
import type {
  EndedRun,
  HoldOrder,
  HostReport,
  OrderError,
  StartOrder,
  StopOrder,
} from '@baobabwell/platform';
import type { CancelTimer, Clock, Result } from '@baobabwell/utils';

import { RunEnd } from '@baobabwell/jobs';
import { OrderRefusal } from '@baobabwell/platform';
import { createError, createOk } from '@baobabwell/utils';

/** Longest lease that a host grants, in ms. */
export const MAX_LEASE_MS = 6_000;

/** Time from the start of a long running task until it is at work, in ms. */
const STARTUP_MS = 200;

/** Maximum number of ends in one report. */
const MAX_REPORTED_ENDS = 500;

/** Time until a stopped run has ended, in ms. */
const STOP_MS = 150;

const FULL_PERCENT = 100;

type HostRun = {
  readonly task: string;
  readonly run: number;
  readonly cancel: CancelTimer;
  readonly startedAtMs: number;
  isStopping: boolean;
};

/** One incarnation of a host: its active runs, its ended runs and its lease. */
export class EmulatedHost {
  /** Actual duration of runs as a multiple of their estimate. */
  durationFactor = 1;

  /** Injected defect: the host accepts orders of former owners. */
  shouldAcceptStaleEpochs = false;

  /** Injected defect: reports omit all active runs. */
  shouldHideRuns = false;

  /** True when the host also forgets later ends up to the highest position acknowledged to it. */
  shouldKeepAcknowledgedPosition = false;

  /** Decides whether a run of a task fails. */
  shouldFailTask: (task: string) => boolean = () => false;

  readonly id: string;

  readonly bornMs: number;

  readonly capacity: Resources;

  readonly #clock: Clock;

  readonly #oracle: JobOracle;

  readonly #runs = new Map<string, HostRun>();

  /** Highest run number of each task that ended or was ordered to stop on this host. */
  readonly #highestEndedRuns = new Map<string, number>();

  readonly #waiters = new Set<() => void>();

  #ended: EndedRun[] = [];

  #endCount = 0;

  #acknowledgedPosition = 0;

  /** Positions of the ends that a process has received. */
  readonly #deliveredEnds = new Set<number>();

  #epoch = 0;

  #leaseEndMs = 0;

  #isAlive = true;

  constructor(id: string, clock: Clock, oracle: JobOracle, capacity: Resources) {
    this.id = id;
    this.#clock = clock;
    this.#oracle = oracle;
    this.capacity = capacity;
    this.bornMs = clock.getWallTime();
  }

  get isAlive(): boolean {
    return this.#isAlive;
  }

  countRuns(): number {
    return this.#runs.size;
  }

  /** Ends this incarnation; its active runs and its unacknowledged ends are lost. */
  kill(): void {
    if (!this.#isAlive) {
      return;
    }
    this.#isAlive = false;
    this.#runs.forEach(({ task, cancel }) => {
      cancel();
      this.#oracle.recordEnd(task, this.id, RunEnd.LeaseExpired, this.#clock.getNow());
    });
    this.#runs.clear();
    this.#ended
      .filter(({ end }) => end === RunEnd.Done)
      .forEach(({ task }) => this.#oracle.recordLostEnd(task));
  }

  /** Ends this incarnation on an order of the system, which takes long running tasks away. */
  endForOrder(): void {
    this.#runs.forEach(({ task }) => {
      this.#oracle.availability.recordOrderedEnd(task, this.#clock.getNow());
    });
    this.kill();
  }

  /** Records that a process received a report. */
  recordDelivery({ ended }: HostReport): void {
    ended.forEach(({ position }) => this.#deliveredEnds.add(position));
  }

  /** @param isLate true when the order is carried out late, after it counted as unanswered. */
  start(order: StartOrder, isLate = false): Result<number, OrderError> {
    const refusal = this.#checkOrder(order.epoch);
    if (refusal !== null) {
      return refusal;
    }
    if (order.leaseEndMs <= this.#getClock()) {
      return this.#refuse(OrderRefusal.LeaseExpired);
    }
    this.#extendLease(order.leaseEndMs);
    const current = this.#runs.get(order.task);
    if (current?.run === order.run) {
      return createOk(this.#getClock());
    }
    if (current !== undefined || order.run <= (this.#highestEndedRuns.get(order.task) ?? 0)) {
      return this.#refuse(OrderRefusal.Superseded);
    }
    const availableCpuMillis = this.#getAvailableCpu();
    const step = this.#oracle.findStep(order.task);
    if (step !== null && step.need.cpuMillis > availableCpuMillis) {
      return this.#refuse(OrderRefusal.NoCapacity);
    }
    this.#oracle.recordStart(order.task, this.id, this.#clock.getNow(), availableCpuMillis, isLate);
    const durationMs = (step?.estimateMs ?? 0) * this.durationFactor;
    const cancel =
      step?.isLasting === true
        ? () => undefined
        : this.#clock.startTimer(durationMs, () =>
            this.#endRun(order.task, this.shouldFailTask(order.task) ? RunEnd.Failed : RunEnd.Done),
          );
    this.#runs.set(order.task, {
      task: order.task,
      run: order.run,
      cancel,
      startedAtMs: this.#clock.getNow(),
      isStopping: false,
    });
    if (step?.isLasting === true) {
      this.#clock.startTimer(STARTUP_MS, () => this.#recordAtWork(order.task, order.run));
    }
    return createOk(this.#getClock());
  }

  stop(order: StopOrder): Result<number, OrderError> {
    const refusal = this.#checkOrder(order.epoch);
    if (refusal !== null) {
      return refusal;
    }
    const highestEnded = Math.max(order.run, this.#highestEndedRuns.get(order.task) ?? 0);
    this.#highestEndedRuns.set(order.task, highestEnded);
    const run = this.#runs.get(order.task);
    if (run !== undefined && run.run <= order.run && !run.isStopping) {
      run.isStopping = true;
      run.cancel();
      this.#oracle.availability.recordOrderedEnd(order.task, this.#clock.getNow());
      this.#clock.startTimer(STOP_MS, () => this.#endRun(order.task, RunEnd.Stopped));
    }
    return createOk(this.#getClock());
  }

  async hold(order: HoldOrder): Promise<Result<HostReport, OrderError>> {
    const refusal = this.#checkOrder(order.epoch);
    if (refusal !== null) {
      return refusal;
    }
    if (order.leaseEndMs !== null) {
      this.#extendLease(order.leaseEndMs);
    }
    this.#forgetEnds(order.acknowledgedPosition);
    if (order.waitMs > 0 && this.#ended.length === 0) {
      await this.#waitForEnd(order.waitMs);
    }
    return createOk({
      clockMs: this.#getClock(),
      bornMs: this.bornMs,
      ended: this.#ended.slice(0, MAX_REPORTED_ENDS),
      isPartial: this.#ended.length >= MAX_REPORTED_ENDS,
      active: (this.shouldHideRuns ? [] : [...this.#runs.values()]).map(
        ({ task, run, startedAtMs }) => ({
          task,
          run,
          checkpoint: '',
          progressPercent: this.#clock.getNow() - startedAtMs >= STARTUP_MS ? FULL_PERCENT : 0,
          reading: null,
        }),
      ),
    });
  }

  #forgetEnds(acknowledgedPosition: number): void {
    this.#acknowledgedPosition = Math.max(this.#acknowledgedPosition, acknowledgedPosition);
    const position = this.shouldKeepAcknowledgedPosition
      ? this.#acknowledgedPosition
      : acknowledgedPosition;
    this.#ended
      .filter((end) => end.position <= position && !this.#deliveredEnds.has(end.position))
      .forEach(({ task, end }) =>
        this.#oracle.recordUnseenEnd(task, this.id, end, this.#clock.getNow()),
      );
    this.#ended = this.#ended.filter((end) => end.position > position);
  }

  #recordAtWork(task: string, run: number): void {
    if (this.#isAlive && this.#runs.get(task)?.run === run) {
      this.#oracle.availability.recordAtWork(task);
    }
  }

  #getClock(): number {
    return this.#clock.getWallTime() - this.bornMs;
  }

  #getAvailableCpu(): number {
    let availableCpuMillis = this.capacity.cpuMillis;
    this.#runs.forEach(({ task }) => {
      availableCpuMillis -= this.#oracle.findStep(task)?.need.cpuMillis ?? 0;
    });
    return availableCpuMillis;
  }

  #checkOrder(epoch: number): Result<never, OrderError> | null {
    if (!this.#isAlive) {
      return createError({ kind: OrderRefusal.Unanswered, clockMs: null, cause: 'dead' });
    }
    if (epoch < this.#epoch && !this.shouldAcceptStaleEpochs) {
      return this.#refuse(OrderRefusal.Fenced);
    }
    this.#epoch = epoch;
    return null;
  }

  #refuse(kind: OrderRefusal): Result<never, OrderError> {
    return createError({ kind, clockMs: this.#getClock(), cause: kind });
  }

  #extendLease(requestedEndMs: number): void {
    const leaseEndMs = Math.min(requestedEndMs, this.#getClock() + MAX_LEASE_MS);
    if (leaseEndMs <= this.#leaseEndMs) {
      return;
    }
    this.#leaseEndMs = leaseEndMs;
    this.#clock.startTimer(leaseEndMs - this.#getClock(), () => this.#checkLease());
  }

  #checkLease(): void {
    if (this.#isAlive && this.#getClock() >= this.#leaseEndMs) {
      // A completion that was not acknowledged before the lease expired does not count as done.
      this.#ended
        .filter(({ end }) => end === RunEnd.Done)
        .forEach(({ task }) => this.#oracle.recordLostEnd(task));
      [...this.#runs.keys()].forEach((task) => this.#endRun(task, RunEnd.LeaseExpired));
    }
  }

  #endRun(task: string, end: RunEnd): void {
    const run = this.#runs.get(task);
    if (run === undefined || !this.#isAlive) {
      return;
    }
    run.cancel();
    this.#runs.delete(task);
    this.#highestEndedRuns.set(task, Math.max(run.run, this.#highestEndedRuns.get(task) ?? 0));
    this.#endCount += 1;
    this.#ended.push({ position: this.#endCount, task, run: run.run, end, checkpoint: '' });
    this.#oracle.recordEnd(task, this.id, end, this.#clock.getNow());
    if (this.shouldKeepAcknowledgedPosition) {
      this.#forgetEnds(this.#acknowledgedPosition);
    }
    [...this.#waiters].forEach((notify) => notify());
  }

  async #waitForEnd(waitMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const notify = (): void => {
        this.#waiters.delete(notify);
        resolve();
      };
      this.#waiters.add(notify);
      this.#clock.startTimer(waitMs, notify);
    });
  }
}
