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

import { getGang } from './BaobabwellJobEmulatorNames';
import { fits } from './BaobabwellJobEmulatorOracle';

/** Longest lease that a host grants, in ms. */
export const MAX_LEASE_MS = 6_000;

/** Time from the start of a long running task until it is at work, in ms. */
const STARTUP_MS = 200;

/** Maximum number of ends in one report. */
const MAX_REPORTED_ENDS = 500;

/** Work after which a run has a new checkpoint, in ms. */
const CHECKPOINT_MS = 500;

/** Time until a stopped run has ended, in ms. */
const STOP_MS = 150;

/** Time between two reports of a host about itself, in ms. */
export const HEARTBEAT_MS = 1_500;

/** Time after a host's report of a smaller capacity from which starts have to fit it, in ms. */
const CAPACITY_CONTACT_MS = 3_000;

/** Time after a host is listed as draining from which no run may start there, in ms. */
export const DRAIN_MS = 2_000;

/** Time after the evacuation of a zone from which no run may start there, in ms. */
export const EVACUATION_MS = 4_000;

/** Time from the start of a task that crashes its host to the crash, in ms. */
const CRASH_DELAY_MS = 10;

const FULL_PERCENT = 100;

type HostRun = {
  readonly task: string;
  readonly run: number;
  readonly cancel: CancelTimer;
  readonly startedAtMs: number;
  /** Duration of the whole run, in ms; `null` for a long running task. */
  readonly durationMs: number | null;
  /** Checkpoint from which the run resumed; '' if it began anew. */
  readonly checkpoint: string;
  isStopping: boolean;
};

/** A capacity that a host had before. */
type FormerCapacity = { readonly capacity: Resources; readonly untilMs: number };

function getLargest(left: Resources, right: Resources): Resources {
  return {
    cpuMillis: Math.max(left.cpuMillis, right.cpuMillis),
    memoryMb: Math.max(left.memoryMb, right.memoryMb),
    gpus: Math.max(left.gpus, right.gpus),
  };
}

/** How a crashed host comes back. */
export enum CrashRecovery {
  SameId = 'same-id',
  /** Under another id, at the address that it had. */
  OtherId = 'other-id',
  /** Not at all; its row is removed after some time. */
  None = 'none',
}

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

  /** True when the host refuses starts that do not fit its capacity. */
  checksCapacity = true;

  /** Monotonic time at which the host was listed as draining, in ms. */
  drainingSinceMs: number | null = null;

  /** Finds the monotonic time at which the zone of the host was evacuated, in ms; `null` if it is not. */
  findEvacuatedAtMs: () => number | null = () => null;

  /** Decides whether a run of a task fails. */
  shouldFailTask: (task: string) => boolean = () => false;

  /** Decides whether the start of a task crashes the host. */
  shouldCrashOnTask: (task: string) => boolean = () => false;

  /** Called when a task crashed the host, with that task. */
  onCrash: (task: string) => void = () => undefined;

  /** True when another incarnation, under another id, answers at the address of this host. */
  isReplaced = false;

  /** True when the incarnation ended by a crash: its address refuses connections. */
  hasCrashed = false;

  /** Number of hold calls that reached the host. */
  holdCount = 0;

  readonly id: string;

  readonly bornMs: number;

  readonly #clock: Clock;

  readonly #oracle: JobOracle;

  #capacity: Resources;

  readonly #formerCapacities: FormerCapacity[] = [];

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
    this.#capacity = capacity;
    this.bornMs = clock.getWallTime();
  }

  get isAlive(): boolean {
    return this.#isAlive;
  }

  countRuns(): number {
    return this.#runs.size;
  }

  /** Returns true while a run of a task is on the host. */
  hasRun(task: string): boolean {
    return this.#runs.has(task);
  }

  /** Changes the capacity; active runs go on. */
  setCapacity(capacity: Resources): void {
    this.#formerCapacities.push({ capacity: this.#capacity, untilMs: this.#clock.getNow() });
    this.#capacity = capacity;
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

  /** Ends this incarnation by a crash, which closes its connections. */
  crash(): void {
    this.hasCrashed = true;
    this.kill();
    this.closeConnections();
  }

  /** Ends the calls that wait for an answer. */
  closeConnections(): void {
    [...this.#waiters].forEach((notify) => notify());
  }

  /** Ends this incarnation on an order of the system, which takes long running tasks away. */
  endForOrder(): void {
    this.#runs.forEach(({ task }) => {
      this.#oracle.availability.recordOrderedEnd(task, this.#clock.getNow());
    });
    this.kill();
  }

  /** Ends the runs of a gang of which a member ended elsewhere. */
  endGangMembers(gang: string): void {
    [...this.#runs.keys()]
      .filter((task) => getGang(task) === gang)
      .forEach((task) => this.#endRun(task, RunEnd.GangMemberEnded));
  }

  /** Records that a process received a report. */
  recordDelivery({ ended }: HostReport): void {
    ended.forEach(({ position }) => this.#deliveredEnds.add(position));
  }

  /** @param lateMs time for which the order was delayed on its way, in ms. */
  start(order: StartOrder, lateMs = 0): Result<number, OrderError> {
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
    const step = this.#oracle.findStep(order.task);
    if (this.checksCapacity && step !== null && !fits(step, this.#getAvailable(this.#capacity))) {
      return this.#refuse(OrderRefusal.NoCapacity);
    }
    const nowMs = this.#clock.getNow();
    const evacuatedAtMs = this.findEvacuatedAtMs() ?? Infinity;
    this.#oracle.recordStart(order.task, this.id, nowMs, {
      available: this.#getAvailable(this.#getOwnersCapacity(lateMs)),
      isLate: lateMs > 0,
      isDrained: this.drainingSinceMs !== null && nowMs - lateMs > this.drainingSinceMs + DRAIN_MS,
      isEvacuated: nowMs - lateMs > evacuatedAtMs + EVACUATION_MS,
    });
    this.#oracle.recordResumption(order, nowMs);
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
      durationMs: step?.isLasting === true ? null : durationMs,
      checkpoint: order.checkpoint,
      isStopping: false,
    });
    if (this.shouldCrashOnTask(order.task)) {
      this.#clock.startTimer(CRASH_DELAY_MS, () => this.#crash(order.task));
    }
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
    this.holdCount += 1;
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
      active: (this.shouldHideRuns ? [] : [...this.#runs.values()]).map((hostRun) => ({
        task: hostRun.task,
        run: hostRun.run,
        checkpoint: this.#getCheckpoint(hostRun, RunEnd.Done),
        progressPercent: this.#getProgressPercent(hostRun.startedAtMs, hostRun.durationMs),
        reading: null,
      })),
    });
  }

  /** Returns the latest checkpoint of a run; a stop produces a new one. */
  #getCheckpoint({ task, startedAtMs, checkpoint }: HostRun, end: RunEnd): string {
    if (this.#oracle.findStep(task)?.keepsCheckpoints !== true) {
      return '';
    }
    const workedMs = this.#clock.getNow() - startedAtMs;
    const savedMs = end === RunEnd.Stopped ? workedMs : workedMs - (workedMs % CHECKPOINT_MS);
    return savedMs === 0 ? checkpoint : `${task}@${startedAtMs + savedMs}`;
  }

  #getProgressPercent(startedAtMs: number, durationMs: number | null): number {
    const elapsedMs = this.#clock.getNow() - startedAtMs;
    if (durationMs === null) {
      return elapsedMs >= STARTUP_MS ? FULL_PERCENT : 0;
    }
    return Math.min(FULL_PERCENT, Math.floor((FULL_PERCENT * elapsedMs) / Math.max(1, durationMs)));
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
    this.#ended
      .filter(({ end, position: own }) => end === RunEnd.Done && own <= position)
      .forEach(({ task }) => this.#oracle.recordSeenEnd(task, this.#clock.getNow()));
    this.#ended = this.#ended.filter((end) => end.position > position);
  }

  #crash(task: string): void {
    if (this.#isAlive) {
      this.#oracle.recordCrash(task);
      this.crash();
      this.onCrash(task);
    }
  }

  #recordAtWork(task: string, run: number): void {
    if (this.#isAlive && this.#runs.get(task)?.run === run) {
      this.#oracle.availability.recordAtWork(task);
    }
  }

  #getClock(): number {
    return this.#clock.getWallTime() - this.bornMs;
  }

  /** Returns the largest capacity that an owner may still reckon with. */
  #getOwnersCapacity(lateMs: number): Resources {
    const sinceMs = this.#clock.getNow() - lateMs - HEARTBEAT_MS - CAPACITY_CONTACT_MS;
    return this.#formerCapacities
      .filter(({ untilMs }) => untilMs > sinceMs)
      .reduce((largest, { capacity }) => getLargest(largest, capacity), this.#capacity);
  }

  /** Returns what active runs, also those that are being stopped, leave of a capacity. */
  #getAvailable({ cpuMillis, memoryMb, gpus }: Resources): Resources {
    const available = { cpuMillis, memoryMb, gpus };
    this.#runs.forEach(({ task }) => {
      const step = this.#oracle.findStep(task);
      if (step !== null) {
        available.cpuMillis -= step.isFilling ? 0 : step.need.cpuMillis;
        available.memoryMb -= step.need.memoryMb;
        available.gpus -= step.need.gpus;
      }
    });
    return available;
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
    const checkpoint = this.#getCheckpoint(run, end);
    this.#ended.push({ position: this.#endCount, task, run: run.run, end, checkpoint });
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
