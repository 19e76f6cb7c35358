import type { ObservedCall, Violations } from './BaobabwellFuzzCallOracle';
import type { EmulatedDecorators } from '@baobabwell/emulator';
import type { PlatformFaults, WorkerFaults } from '@baobabwell/stand-ins';

import { buildEmulatedSettings, EmulatedFleet, getTeamSecret } from '@baobabwell/emulator';
import { NO_PLATFORM_FAULTS, NO_WORKER_FAULTS } from '@baobabwell/stand-ins';

import { findViolations } from './BaobabwellFuzzCallOracle';

const QUEUE = 'ovens';
const TEAM = 'guilds';
const TEAM_LIMIT = 1_000;
const RECOVERY_MS = 30_000;

/** Size of the system under test. */
export type CallSystemShape = {
  readonly entries: number;
  readonly workers: number;
  /** Slots of each worker. */
  readonly slots: number;
  readonly seed: number;
};

/** A call that a history makes. */
export type FuzzCall = {
  readonly entry: number;
  /**
   * Identifies the work of a call with an idempotency key; `null` for a call without a key. Calls
   * for the same work may differ only in their entry and timeout.
   */
  readonly work: number | null;
  readonly isRepeatable: boolean;
  readonly runMs: number;
  readonly timeoutMs: number;
  /** Time after which the caller disconnects; `null` if it stays connected. */
  readonly cancelAfterMs: number | null;
};

type SystemCall = ObservedCall & { readonly entry: string };

function clearLateness(call: ObservedCall): void {
  if (call.result === null) {
    Object.assign(call, { lateMs: null });
  }
}

/** The system under test: entries, workers and platform, with the results of all calls. */
export class CallFuzzSystem {
  readonly fleet: EmulatedFleet;

  readonly #shape: CallSystemShape;

  readonly #calls: SystemCall[] = [];

  constructor(shape: CallSystemShape, decorators: EmulatedDecorators = {}) {
    this.#shape = shape;
    const { entries, workers, slots, seed } = shape;
    const settings = buildEmulatedSettings({
      entries,
      pools: [{ id: QUEUE, workers, minimumServing: 1, slots }],
      teams: [{ id: TEAM, share: 1, limit: TEAM_LIMIT }],
    });
    this.fleet = new EmulatedFleet(settings, seed, decorators);
  }

  /** Starts all entries. */
  async start(): Promise<void> {
    await this.fleet.startAll();
  }

  /** Starts a call without waiting for its result. */
  sendCall({ entry, work, isRepeatable, runMs, timeoutMs, cancelAfterMs }: FuzzCall): void {
    const name = this.#getEntryName(entry);
    if (!this.#isRunning(name)) {
      return;
    }
    const id = `request-${this.#calls.length}`;
    const workName = work === null ? id : `work-${work}-${isRepeatable}`;
    const body = JSON.stringify({ runMs, work: workName });
    const call: SystemCall = {
      id,
      entry: name,
      work: workName,
      isKeyed: work !== null,
      isRepeatable,
      body,
      result: null,
      lateMs: null,
      isReplyExpected: true,
    };
    this.#calls.push(call);
    void this.#runCall(call, { timeoutMs, cancelAfterMs, isBounded: !this.fleet.isPaused(name) });
  }

  /** Sets the faults of one worker. */
  applyWorkerFaults(worker: number, faults: Partial<WorkerFaults>): void {
    this.fleet
      .getWorker(this.#getWorkerName(worker))
      .applyFaults({ ...NO_WORKER_FAULTS, ...faults });
  }

  /** Crashes a worker, which ends all of its tasks. */
  crashWorker(worker: number): void {
    this.fleet.getWorker(this.#getWorkerName(worker)).crash();
  }

  /** Sets the faults of the platform's services. */
  applyPlatformFaults(faults: Partial<PlatformFaults>): void {
    this.fleet.tables.applyFaults({ ...NO_PLATFORM_FAULTS, ...faults });
    this.fleet.objects.setDown(faults.down ?? false);
  }

  /** Drops messages in one direction between an entry and a worker (the platform if `null`). */
  partition(entry: number, worker: number | null, isTowardsEntry: boolean): void {
    const entryName = this.#getEntryName(entry);
    const other = worker === null ? 'platform' : this.#getWorkerName(worker);
    const [from, to] = isTowardsEntry ? [other, entryName] : [entryName, other];
    this.fleet.network.partition(from, to);
  }

  /** Heals all network partitions. */
  healNetwork(): void {
    this.fleet.network.healAll();
  }

  /** Pauses a running entry, or resumes a paused one. */
  togglePause(entry: number): void {
    const name = this.#getEntryName(entry);
    if (!this.#isRunning(name)) {
      return;
    }
    if (this.fleet.isPaused(name)) {
      this.fleet.resumeEntry(name);
    } else {
      this.#calls.filter((call) => call.entry === name).forEach(clearLateness);
      this.fleet.pauseEntry(name);
    }
  }

  /** Kills a running entry, or starts a killed one again. */
  toggleRunning(entry: number): void {
    const name = this.#getEntryName(entry);
    if (this.#isRunning(name)) {
      this.fleet.killEntry(name);
      this.#calls
        .filter((call) => call.entry === name && call.result === null)
        .forEach((call) => Object.assign(call, { isReplyExpected: false }));
      return;
    }
    void this.fleet.createEntry(name).start();
  }

  /** Advances the emulated time. */
  async advance(durationMs: number): Promise<void> {
    await this.fleet.advance(durationMs);
  }

  /** Ends all faults, waits for the remaining calls, and checks all results against the ledgers. */
  async findViolations(recoveryMs = RECOVERY_MS): Promise<Violations> {
    this.healNetwork();
    this.applyPlatformFaults({});
    Array.from({ length: this.#shape.workers }).forEach((_, worker) =>
      this.applyWorkerFaults(worker, {}),
    );
    this.fleet
      .listEntries()
      .filter((name) => this.fleet.isPaused(name))
      .forEach((name) => this.fleet.resumeEntry(name));
    await this.fleet.advance(recoveryMs);
    return findViolations(this.#calls, this.fleet.listLedger());
  }

  /** Returns the calls made so far. */
  listCalls(): readonly ObservedCall[] {
    return this.#calls;
  }

  /** Closes the emulated fleet. */
  close(): void {
    this.fleet.close();
  }

  async #runCall(
    call: SystemCall,
    options: {
      readonly timeoutMs: number;
      readonly cancelAfterMs: number | null;
      readonly isBounded: boolean;
    },
  ): Promise<void> {
    const { time } = this.fleet;
    const { timeoutMs, cancelAfterMs } = options;
    const callerAbort = new AbortController();
    if (cancelAfterMs !== null) {
      time.startTimer(cancelAfterMs, () => callerAbort.abort());
    }
    const deadlineAt = time.getNow() + timeoutMs;
    Object.assign(call, { lateMs: options.isBounded ? 0 : null });
    const result = await this.fleet.call(
      call.entry,
      {
        id: call.id,
        queue: QUEUE,
        secret: getTeamSecret(TEAM),
        idempotencyKey: call.isKeyed ? call.work : null,
        isRepeatable: call.isRepeatable,
        timeoutMs,
        body: Buffer.from(call.body),
      },
      callerAbort.signal,
    );
    const lateMs = call.lateMs === null ? null : Math.max(0, time.getNow() - deadlineAt);
    Object.assign(call, { result, lateMs });
  }

  #isRunning(name: string): boolean {
    return this.fleet.listEntries().includes(name);
  }

  #getEntryName(entry: number): string {
    return `entry-${(entry % this.#shape.entries) + 1}`;
  }

  #getWorkerName(worker: number): string {
    return `${QUEUE}-${(worker % this.#shape.workers) + 1}`;
  }
}
