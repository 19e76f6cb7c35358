import type { ListedWorker } from '@baobabwell/fleet';
import type { Resources, Run } from '@baobabwell/jobs';
import type { HostLife } from '@baobabwell/platform';

import { RunPhase } from '@baobabwell/jobs';

import { CLOCK_DRIFT, HOST_LEASE_MS, LAPSE_MARGIN_MS } from './BaobabwellControllerConstants';

/** A start that may still be carried out. */
export type UnansweredStart = {
  readonly task: string;
  readonly run: number;
  readonly sentAtMs: number;
};

/** What an owner knows of one life of a host. */
export class Host {
  /** What the host last said of itself; `null` once it is no longer listed. */
  listed: ListedWorker | null;

  bornMs: number | null;

  /**
   * Starts that were not answered, with the monotonic time of the order in ms: each may be carried
   * out late, also in a later life of the host.
   */
  readonly unansweredStarts = new Map<string, UnansweredStart>();

  /** What may be on the host. */
  readonly runs = new Map<string, Run>();

  /** The host's life is written down, so that a later owner asks it. */
  isRegistered = false;

  /** All that earlier owners started there is known, or has lapsed. */
  isSettled = false;

  /** Attempts since the host last answered. */
  failures = 0;

  unhealthyUntilMs = 0;

  /** Last position in the host's list of ends that was applied. */
  appliedEnd = 0;

  /** Last position whose effect is stored. */
  storedEnd = 0;

  /** Position that the host was last told it may forget. */
  acknowledgedEnd = 0;

  /** Gets no new work because it is about to leave the pool or go down. */
  isCordoned = false;

  /** Monotonic time since which all that ran there may have been unknown, in ms. */
  readonly knownSinceMs: number;

  #used: Resources = { cpuMillis: 0, memoryMb: 0, gpus: 0 };

  #clock: { readonly hostMs: number; readonly receivedAtMs: number } | null = null;

  #leaseEndMs = 0;

  /** Leases that this process cannot compute last until this monotonic time, in ms. */
  #unknownUntilMs = 0;

  constructor(
    readonly life: HostLife,
    readonly pool: string,
    listed: ListedWorker | null,
    knownSinceMs: number,
  ) {
    this.listed = listed;
    this.bornMs = listed?.bornMs ?? null;
    this.knownSinceMs = knownSinceMs;
  }

  get isReachable(): boolean {
    return this.failures === 0;
  }

  get hasClock(): boolean {
    return this.#clock !== null;
  }

  /** True when new work may be placed there. */
  canTakeWork(nowMs: number): boolean {
    return (
      this.listed !== null &&
      !this.listed.isDraining &&
      this.isRegistered &&
      this.isSettled &&
      this.isReachable &&
      !this.isCordoned &&
      this.hasClock &&
      nowMs >= this.unhealthyUntilMs
    );
  }

  getCapacity(): Resources {
    return this.listed?.capacity ?? { cpuMillis: 0, memoryMb: 0, gpus: 0 };
  }

  /** Room that is not promised to any run. */
  getFree(): Resources {
    const { cpuMillis, memoryMb, gpus } = this.getCapacity();
    return {
      cpuMillis: cpuMillis - this.#used.cpuMillis,
      memoryMb: memoryMb - this.#used.memoryMb,
      gpus: gpus - this.#used.gpus,
    };
  }

  getUsed(): Resources {
    return this.#used;
  }

  addRun(run: Run): void {
    this.runs.set(run.key, run);
    this.#use(run, 1);
  }

  removeRun(run: Run): void {
    if (this.runs.delete(run.key)) {
      this.#use(run, -1);
    }
  }

  /** Records the host's clock as an answer gave it. */
  recordClock(hostMs: number, receivedAtMs: number): void {
    this.#clock = { hostMs, receivedAtMs };
  }

  /** Computes the end of a lease from now on, by the host's clock, and records it as given. */
  extendLease(nowMs: number): number {
    if (this.#clock === null) {
      return 0;
    }
    const { hostMs, receivedAtMs } = this.#clock;
    const endMs = Math.floor(hostMs + (nowMs - receivedAtMs) + HOST_LEASE_MS);
    this.#leaseEndMs = Math.max(this.#leaseEndMs, endMs);
    return endMs;
  }

  /**
   * Monotonic time from which nothing that was started there can be running, in ms.
   *
   * @param unknownLeaseMs longest time that an earlier owner's leases last after the takeover.
   */
  getLapsedAtMs(unknownLeaseMs: number): number {
    if (!this.isSettled) {
      return this.knownSinceMs + unknownLeaseMs;
    }
    if (this.#clock === null || this.#leaseEndMs === 0) {
      return Math.max(this.knownSinceMs, this.#unknownUntilMs);
    }
    const { hostMs, receivedAtMs } = this.#clock;
    const leftMs = Math.max(0, this.#leaseEndMs - hostMs) / (1 - CLOCK_DRIFT);
    return Math.max(this.#unknownUntilMs, receivedAtMs + leftMs + LAPSE_MARGIN_MS);
  }

  /**
   * Starts a new life under the same id: nothing of before is there any more.
   *
   * @param lapsedAtMs monotonic time until which orders for the former life may keep runs of the new
   * one alive, in ms.
   */
  recordRebirth(bornMs: number | null, lapsedAtMs: number): void {
    this.#unknownUntilMs = lapsedAtMs;
    this.bornMs = bornMs;
    this.appliedEnd = 0;
    this.storedEnd = 0;
    this.acknowledgedEnd = 0;
    this.#clock = null;
    this.#leaseEndMs = 0;
  }

  countServing(): number {
    return this.#count(({ task }) => task.step.spec.tailTargetMs > 0);
  }

  countFilling(): number {
    return this.#count(({ task }) => task.step.spec.isFilling);
  }

  hasUnclear(): boolean {
    return (
      this.#count(({ phase }) => phase === RunPhase.Unknown || phase === RunPhase.Stopping) > 0
    );
  }

  #count(matches: (run: Run) => boolean): number {
    let count = 0;
    this.runs.forEach((run) => {
      count += matches(run) ? 1 : 0;
    });
    return count;
  }

  #use({ task }: Run, factor: 1 | -1): void {
    const { need, isFilling } = task.step.spec;
    const { cpuMillis, memoryMb, gpus } = this.#used;
    this.#used = {
      cpuMillis: cpuMillis + (isFilling ? 0 : factor * need.cpuMillis),
      memoryMb: memoryMb + factor * need.memoryMb,
      gpus: gpus + factor * need.gpus,
    };
  }
}
