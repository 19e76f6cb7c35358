import type { WorkerFaults } from './BaobabwellStandInsFaults';
import type { Clock } from '@baobabwell/utils';

import { z } from 'zod';

import { NO_WORKER_FAULTS } from './BaobabwellStandInsFaults';

/** Change of a task's state, as its worker records it. */
export enum LedgerEvent {
  Started = 'started',
  Completed = 'completed',
  Failed = 'failed',
  Stopped = 'stopped',
}

/** One event in a worker's ledger. */
export type LedgerLine = {
  readonly taskId: string;
  readonly team: string;
  readonly event: LedgerEvent;
  /** Monotonic time of the worker's clock, in milliseconds. */
  readonly at: number;
};

/** Reason for which a worker did not start a task. */
export enum RejectionCode {
  NoSlot = 'no-slot',
  LeaseExpired = 'lease-lapsed',
  /** The holder had stopped the task before it could start. */
  Withdrawn = 'withdrawn',
  Stopping = 'stopping',
}

/** A task as a worker receives it. */
export type IncomingTask = {
  readonly taskId: string;
  readonly holder: string;
  readonly team: string;
  readonly body: Buffer;
  /** Time after which the task is stopped; when omitted, only the lease limits the task. */
  readonly timeoutMs?: number;
};

/** Result of a task. */
export type TaskResult =
  | { readonly kind: 'rejected'; readonly code: RejectionCode }
  | {
      readonly kind: 'completed';
      /** The task that the answer belongs to; a different task under the `crossAnswers` fault. */
      readonly taskId: string;
      readonly body: Buffer;
    }
  | { readonly kind: 'failed' }
  | { readonly kind: 'stopped' };

/** Request of a holder to renew its lease. */
export type LeaseRequest = {
  readonly holder: string;
  readonly slots: number;
  /** Tasks to stop if they run, and not to start otherwise. */
  readonly stops?: readonly string[];
  readonly startTtlMs: number;
  readonly taskTtlMs: number;
};

/** Lease that a worker grants. */
export type LeaseGrant = {
  readonly slots: number;
  /** Slots that are not leased to any holder. */
  readonly free: number;
  /** Running tasks of this holder. */
  readonly tasks: readonly string[];
};

type Holder = {
  slots: number;
  startLeaseEndsAt: number;
  taskLeaseEndsAt: number;
  readonly running: Map<string, AbortController>;
};

const DEFAULT_RUN_MS = 20;
const DEFAULT_BOOT_MS = 2_000;
const LEASE_CHECK_INTERVAL_MS = 100;
const MAX_WITHDRAWN_TASKS = 10_000;

const workSchema = z.object({ runMs: z.number().nonnegative().default(DEFAULT_RUN_MS) });

function parseRunMs(body: Buffer): number {
  try {
    return workSchema.parse(JSON.parse(body.toString('utf8'))).runMs;
  } catch {
    return DEFAULT_RUN_MS;
  }
}

/** An in-memory worker with leased slots, tasks, a ledger and fault injection. */
export class StandInWorker {
  readonly id: string;

  readonly slots: number;

  readonly #clock: Clock;

  readonly #holders = new Map<string, Holder>();

  readonly #ledger: LedgerLine[] = [];

  /** Ids of tasks that must not start, oldest first. */
  readonly #withdrawn = new Set<string>();

  #faults: WorkerFaults = NO_WORKER_FAULTS;

  #isStopping = false;

  #isBooting = false;

  #bootMs = DEFAULT_BOOT_MS;

  #rebootToken = 0;

  #interruptedByReboot = 0;

  #lastAnswer: TaskResult = { kind: 'completed', taskId: 'none', body: Buffer.from('{}') };

  constructor(id: string, slots: number, clock: Clock) {
    this.id = id;
    this.slots = slots;
    this.#clock = clock;
  }

  /** Returns the injected faults. */
  getFaults(): WorkerFaults {
    return this.#faults;
  }

  /** Replaces the injected faults. */
  applyFaults(faults: WorkerFaults): void {
    this.#faults = faults;
  }

  /** Returns the ledger, oldest event first. */
  getLedger(): readonly LedgerLine[] {
    return this.#ledger;
  }

  /** Returns the number of running tasks. */
  getRunningCount(): number {
    return [...this.#holders.values()].reduce((sum, { running }) => sum + running.size, 0);
  }

  /** Makes the worker reject new tasks, or accept them again. */
  setStopping(isStopping: boolean): void {
    this.#isStopping = isStopping;
  }

  /** Returns the token of the last reboot order that was carried out, zero if there was none. */
  getRebootToken(): number {
    return this.#rebootToken;
  }

  /**
   * Reboots the machine; it does not answer until it is up again.
   *
   * @returns false for an order older than the last one; a repeated order has no effect.
   */
  reboot(token: number): boolean {
    if (token <= this.#rebootToken) {
      return token === this.#rebootToken;
    }
    this.#rebootToken = token;
    this.#interruptedByReboot += this.getRunningCount();
    this.crash();
    this.#isBooting = true;
    this.#clock.startTimer(this.#bootMs, () => {
      this.#isBooting = false;
    });
    return true;
  }

  /** Returns the number of tasks that reboots interrupted. */
  countInterruptedByReboot(): number {
    return this.#interruptedByReboot;
  }

  /** Returns true while the machine reboots. */
  isBooting(): boolean {
    return this.#isBooting;
  }

  /** Sets the duration of a reboot. */
  setBootTime(bootMs: number): void {
    this.#bootMs = bootMs;
  }

  /** Aborts every task and drops all leases, as a restart does. */
  crash(): void {
    this.#holders.forEach(({ running }) => running.forEach((task) => task.abort()));
    this.#holders.clear();
  }

  /** Renews the lease of a holder and adjusts its number of slots. */
  renew({ holder: id, slots, stops = [], startTtlMs, taskTtlMs }: LeaseRequest): LeaseGrant {
    const now = this.#clock.getNow();
    this.#removeExpired(now);
    stops.forEach((taskId) => this.stop(taskId));
    const holder = this.#holders.get(id) ?? {
      slots: 0,
      startLeaseEndsAt: 0,
      taskLeaseEndsAt: 0,
      running: new Map<string, AbortController>(),
    };
    this.#holders.set(id, holder);
    const desiredSlots = this.#isStopping
      ? holder.running.size
      : Math.max(slots, holder.running.size);
    holder.slots = Math.min(desiredSlots, holder.slots + this.#countFreeSlots());
    holder.startLeaseEndsAt = now + startTtlMs;
    holder.taskLeaseEndsAt = now + taskTtlMs;
    return { slots: holder.slots, free: this.#countFreeSlots(), tasks: [...holder.running.keys()] };
  }

  /** Runs a task in one of its holder's slots. */
  async run(task: IncomingTask): Promise<TaskResult> {
    const holder = this.#holders.get(task.holder);
    if (this.#isStopping) {
      return { kind: 'rejected', code: RejectionCode.Stopping };
    }
    if (this.#withdrawn.has(task.taskId)) {
      return { kind: 'rejected', code: RejectionCode.Withdrawn };
    }
    if (holder === undefined || holder.startLeaseEndsAt < this.#clock.getNow()) {
      return { kind: 'rejected', code: RejectionCode.LeaseExpired };
    }
    if (holder.running.size >= holder.slots) {
      return { kind: 'rejected', code: RejectionCode.NoSlot };
    }
    const abort = new AbortController();
    holder.running.set(task.taskId, abort);
    this.#record(task, LedgerEvent.Started);
    const { timeoutMs = Number.POSITIVE_INFINITY } = task;
    const cancelTimer = Number.isFinite(timeoutMs)
      ? this.#clock.startTimer(timeoutMs, () => abort.abort())
      : (): void => {};
    await this.#waitWhileLeased(holder, parseRunMs(task.body), abort);
    cancelTimer();
    holder.running.delete(task.taskId);
    return this.#finishTask(task, abort.signal.aborted);
  }

  /** Stops a task if it runs, and prevents it from starting later. */
  stop(taskId: string): void {
    this.#withdrawn.add(taskId);
    if (this.#withdrawn.size > MAX_WITHDRAWN_TASKS) {
      this.#withdrawn.delete([...this.#withdrawn.values()][0] as string);
    }
    this.#holders.forEach(({ running }) => running.get(taskId)?.abort());
  }

  #finishTask(task: IncomingTask, wasStopped: boolean): TaskResult {
    if (wasStopped) {
      this.#record(task, LedgerEvent.Stopped);
      return { kind: 'stopped' };
    }
    if (this.#faults.failAll) {
      this.#record(task, LedgerEvent.Failed);
      return { kind: 'failed' };
    }
    this.#record(task, LedgerEvent.Completed);
    const body = Buffer.from(
      JSON.stringify({ taskId: task.taskId, worker: this.id, echo: task.body.toString('utf8') }),
    );
    const answer: TaskResult = { kind: 'completed', taskId: task.taskId, body };
    const sent = this.#faults.crossAnswers ? this.#lastAnswer : answer;
    this.#lastAnswer = answer;
    return sent;
  }

  async #waitWhileLeased(holder: Holder, runMs: number, abort: AbortController): Promise<void> {
    const endsAt = this.#clock.getNow() + runMs;
    while (!abort.signal.aborted) {
      const now = this.#clock.getNow();
      if (now >= endsAt) {
        return;
      }
      if (now >= holder.taskLeaseEndsAt) {
        abort.abort();
        return;
      }
      await this.#clock.wait(Math.min(LEASE_CHECK_INTERVAL_MS, endsAt - now), abort.signal);
    }
  }

  #countFreeSlots(): number {
    const held = [...this.#holders.values()].reduce(
      (sum, { slots, running }) => sum + Math.max(slots, running.size),
      0,
    );
    return Math.max(0, this.slots - held);
  }

  #removeExpired(now: number): void {
    this.#holders.forEach((holder, id) => {
      if (holder.startLeaseEndsAt < now) {
        Object.assign(holder, { slots: holder.running.size });
        if (holder.running.size === 0) {
          this.#holders.delete(id);
        }
      }
    });
  }

  #record({ taskId, team }: IncomingTask, event: LedgerEvent): void {
    this.#ledger.push({ taskId, team, event, at: this.#clock.getNow() });
  }
}
