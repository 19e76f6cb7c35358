import type { ListedWorker } from '@baobabwell/fleet';
import type { Resources, Run } from '@baobabwell/jobs';
import type { HostIncarnation, HostReport } from '@baobabwell/platform';

import { addResources, RunPhase } from '@baobabwell/jobs';

import {
  HOLD_WAIT_MS,
  HOST_RETRY_MS,
  MAX_HOST_RETRY_MS,
  MAX_START_DELAY_MS,
  RECENT_ANSWER_AGE_MS,
  THROTTLED_HOLD_WAIT_MS,
} from './BaobabwellControllerConstants';
import { HostHistory } from './BaobabwellControllerHostHistory';
import { IncarnationState } from './BaobabwellControllerIncarnationState';

/** A run that must not be on a host. */
export type UnwantedRun = { readonly task: string; readonly run: number };

/** An order to start a run that was not answered and may still be carried out. */
export type UnansweredStart = UnwantedRun & { readonly sentAtMs: number };

/** Returns true while an unanswered order to start a run may still be carried out. */
export function mayBeCarriedOut({ sentAtMs }: UnansweredStart, nowMs: number): boolean {
  return nowMs - sentAtMs < MAX_START_DELAY_MS;
}

/** Returns true when another worker is listed at the address of a host, whose incarnation has ended. */
export function isReplaced(hosts: ReadonlyMap<string, Host>, { incarnation }: Host): boolean {
  return [...hosts.values()].some(
    ({ incarnation: { id, address }, listedWorker }) =>
      id !== incarnation.id && address === incarnation.address && listedWorker !== null,
  );
}

/**
 * Holds the owner's view of a host. A worker that restarts with the same id, pool and address keeps its
 * `Host`; otherwise the owner creates a new one.
 */
export class Host {
  #listedWorker: ListedWorker | null = null;

  /** Monotonic time until which the host is cold, by its latest listing, in ms. */
  #coldUntilMs = -Infinity;

  /** Start of the incarnation, in ms since 1970; `null` until the host reports it. */
  bornMs: number | null;

  /**
   * Unanswered orders to start a run, with their monotonic send time in ms. Each may still be carried
   * out late, even by a later incarnation of the host.
   */
  readonly unansweredStarts = new Map<string, UnansweredStart>();

  /** Runs that are not tracked and must not be on the host; they are stopped until the host answers. */
  readonly unwantedRuns = new Map<string, UnwantedRun>();

  /** Runs that may be on the host: requested, running or being stopped. */
  readonly runs = new Map<string, Run>();

  /** True once the incarnation is stored, so that a later owner calls it. */
  isRegistered = false;

  /** True from the first attempt to store the incarnation, so that a later owner may call it. */
  mayBeStored = false;

  /** Monotonic time at which the last answered hold call was sent, in ms. */
  answeredHoldSentAtMs = -Infinity;

  /** True once all runs that earlier owners started there are tracked or have expired. */
  isReconciled = false;

  /** Failed attempts since the host last answered. */
  failedAttempts = 0;

  unhealthyUntilMs = 0;

  /** True while the host receives no new work because it is about to leave the pool or go down. */
  isCordoned = false;

  /** True while the operator evacuates the data centre of the host. */
  isEvacuated = false;

  /** Monotonic time at which this owner began to track the host, in ms; earlier runs may be unknown. */
  readonly trackedSinceMs: number;

  readonly history = new HostHistory();

  #state: IncarnationState;

  #used: Resources = { cpuMillis: 0, memoryMb: 0, gpus: 0 };

  #servingCount = 0;

  #bestEffortCount = 0;

  #longRunningCount = 0;

  /** Resources reserved for long running tasks. */
  #longRunningUsed: Resources = { cpuMillis: 0, memoryMb: 0, gpus: 0 };

  constructor(
    readonly incarnation: HostIncarnation,
    readonly pool: string,
    listedWorker: ListedWorker | null,
    trackedSinceMs: number,
  ) {
    this.updateListing(listedWorker, trackedSinceMs);
    this.bornMs = listedWorker?.bornMs ?? null;
    this.trackedSinceMs = trackedSinceMs;
    this.#state = new IncarnationState(trackedSinceMs);
  }

  /** The latest listing of the host; `null` once the host is no longer listed. */
  get listedWorker(): ListedWorker | null {
    return this.#listedWorker;
  }

  /** Records how the host is listed now; `null` if it is not. */
  updateListing(listedWorker: ListedWorker | null, nowMs: number): void {
    this.#listedWorker = listedWorker;
    this.#coldUntilMs = nowMs + (listedWorker?.coldLeftMs ?? 0);
  }

  /** Returns the time for which the host still runs tasks more slowly after its start, in ms. */
  getColdLeftMs(nowMs: number): number {
    return Math.max(0, this.#coldUntilMs - nowMs);
  }

  /** State of the present incarnation; a restart replaces it. */
  get state(): IncarnationState {
    return this.#state;
  }

  get isReachable(): boolean {
    return this.failedAttempts === 0;
  }

  /** True when nothing runs on the host; false until it has reported to this owner. */
  get isIdle(): boolean {
    return this.isReconciled && this.runs.size === 0;
  }

  /** True while a listed host has not reported to this owner and has left no call unanswered. */
  get isAwaited(): boolean {
    return !this.isReconciled && this.isReachable && this.listedWorker?.isDraining === false;
  }

  get hasClock(): boolean {
    return this.#state.hasClock;
  }

  /** Returns true when new work may be placed on the host. */
  canTakeWork(nowMs: number): boolean {
    return (
      this.listedWorker !== null &&
      !this.listedWorker.isDraining &&
      this.#isIncarnationListed(this.listedWorker) &&
      this.isRegistered &&
      this.isReconciled &&
      this.isReachable &&
      !this.isCordoned &&
      !this.isEvacuated &&
      this.hasClock &&
      nowMs >= this.unhealthyUntilMs
    );
  }

  /**
   * Returns true unless the listing is of another incarnation, whose capacity, labels and pool may have
   * been others.
   */
  #isIncarnationListed({ bornMs }: ListedWorker): boolean {
    return bornMs === null || this.bornMs === null || bornMs === this.bornMs;
  }

  getCapacity(): Resources {
    return this.listedWorker?.capacity ?? { cpuMillis: 0, memoryMb: 0, gpus: 0 };
  }

  /** Returns true for a reconciled host that left an order unanswered but answered another just before. */
  hasAnsweredRecently(nowMs: number): boolean {
    const { answeredAtMs } = this.#state;
    return (
      this.isReconciled && answeredAtMs !== null && nowMs - answeredAtMs < RECENT_ANSWER_AGE_MS
    );
  }

  /**
   * Returns true for a report of an incarnation that has ended by now.
   *
   * @param stateAtSending state of the host when the report was requested.
   */
  isOutdated({ bornMs }: HostReport, stateAtSending: IncarnationState): boolean {
    return bornMs !== null && this.bornMs !== null
      ? bornMs < this.bornMs
      : this.#state !== stateAtSending;
  }

  /** Returns the delay before the next call, with backoff for a host on which nothing runs. */
  getRetryMs(): number {
    const isUrgent = this.runs.size > 0 || !this.isReconciled;
    return isUrgent
      ? HOST_RETRY_MS
      : Math.min(MAX_HOST_RETRY_MS, HOST_RETRY_MS * 2 ** this.failedAttempts);
  }

  /** Returns the capacity that no run has reserved. */
  getFreeResources(): Resources {
    const { cpuMillis, memoryMb, gpus } = this.getCapacity();
    return {
      cpuMillis: cpuMillis - this.#used.cpuMillis,
      memoryMb: memoryMb - this.#used.memoryMb,
      gpus: gpus - this.#used.gpus,
    };
  }

  getUsedResources(): Resources {
    return this.#used;
  }

  addRun(run: Run): void {
    this.runs.set(run.key, run);
    this.#updateUsed(run, 1);
  }

  removeRun(run: Run): void {
    if (this.runs.delete(run.key)) {
      this.#updateUsed(run, -1);
    }
  }

  /**
   * Returns the monotonic time from which no run that was started on the host can still be running, in
   * ms.
   *
   * @param formerLeasesEndMs monotonic time by which leases of former owners have expired, in ms.
   */
  getExpiredAtMs(formerLeasesEndMs: number): number {
    const ownLeasesEndMs = this.#state.getExpiredAtMs();
    return this.isReconciled ? ownLeasesEndMs : Math.max(formerLeasesEndMs, ownLeasesEndMs);
  }

  /**
   * Records a new incarnation under the same id, which has none of the earlier runs.
   *
   * @param unknownLeasesUntilMs monotonic time until which orders sent to the former incarnation may
   * keep runs of the new one alive, in ms.
   */
  recordRestart(bornMs: number | null, unknownLeasesUntilMs: number): void {
    this.#state = new IncarnationState(unknownLeasesUntilMs);
    this.bornMs = bornMs;
  }

  /** Marks as unwanted all runs that are not tracked but may still be started late, by their orders. */
  markLateStarts(nowMs: number): void {
    this.unansweredStarts.forEach((start, key) => {
      if (!mayBeCarriedOut(start, nowMs)) {
        this.unansweredStarts.delete(key);
      } else if (!this.runs.has(key)) {
        this.unwantedRuns.set(key, start);
      }
    });
  }

  /** Adds the unanswered starts of an earlier listing under the same id. */
  addUnansweredStarts(starts: ReadonlyMap<string, UnansweredStart>, nowMs: number): void {
    starts.forEach((start, key) => this.unansweredStarts.set(key, start));
    this.markLateStarts(nowMs);
  }

  get servingCount(): number {
    return this.#servingCount;
  }

  get bestEffortCount(): number {
    return this.#bestEffortCount;
  }

  get longRunningCount(): number {
    return this.#longRunningCount;
  }

  /** True while runs may be on the host that end by themselves. */
  get hasShortRuns(): boolean {
    return this.runs.size > this.#longRunningCount;
  }

  /** Returns the capacity that long running tasks have not reserved. */
  getShortTaskResources(): Resources {
    const { cpuMillis, memoryMb, gpus } = this.getCapacity();
    return {
      cpuMillis: cpuMillis - this.#longRunningUsed.cpuMillis,
      memoryMb: memoryMb - this.#longRunningUsed.memoryMb,
      gpus: gpus - this.#longRunningUsed.gpus,
    };
  }

  /** Returns the CPU for tasks that are not long running, in thousandths of a core. */
  getShortTaskCpuMillis(): number {
    // The capacity may have shrunk below what long running tasks use.
    return Math.max(0, this.getShortTaskResources().cpuMillis);
  }

  /** Returns how long a hold call may wait for the end of a run, in ms. */
  getHoldWaitMs(): number {
    const hasOnlyEnds = this.runs.size === 0 && this.state.hasUnacknowledgedEnds();
    if (hasOnlyEnds || this.hasUnresolvedRuns()) {
      return 0;
    }
    return this.servingCount > 0 && this.bestEffortCount > 0
      ? THROTTLED_HOLD_WAIT_MS
      : HOLD_WAIT_MS;
  }

  /** Returns true while ends are being stored and nothing else has to be said to the host meanwhile. */
  isStoringEnds(): boolean {
    return this.state.hasUnstoredEnds() && this.isReachable && !this.hasUnresolvedRuns();
  }

  /** Returns true while runs are to be stopped, or may or may not be on the host. */
  hasUnresolvedRuns(): boolean {
    return this.unwantedRuns.size > 0 || this.#hasUnknownOutcome();
  }

  #hasUnknownOutcome(): boolean {
    return (
      this.#countRuns(({ phase }) => phase === RunPhase.Unknown || phase === RunPhase.Stopping) > 0
    );
  }

  #countRuns(matches: (run: Run) => boolean): number {
    let count = 0;
    this.runs.forEach((run) => {
      count += matches(run) ? 1 : 0;
    });
    return count;
  }

  #updateUsed({ task }: Run, factor: 1 | -1): void {
    const { need, isFilling, isLasting, tailTargetMs } = task.step.spec;
    this.#servingCount += tailTargetMs > 0 ? factor : 0;
    this.#bestEffortCount += isFilling ? factor : 0;
    this.#longRunningCount += isLasting ? factor : 0;
    const change = {
      cpuMillis: isFilling ? 0 : factor * need.cpuMillis,
      memoryMb: factor * need.memoryMb,
      gpus: factor * need.gpus,
    };
    this.#used = addResources(this.#used, change);
    if (isLasting) {
      this.#longRunningUsed = addResources(this.#longRunningUsed, change);
    }
  }
}
