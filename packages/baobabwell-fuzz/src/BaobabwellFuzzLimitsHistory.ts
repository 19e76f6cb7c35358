import type { LimitStep } from './BaobabwellFuzzLimitsSteps';
import type { Plugin } from '@baobabwell/kernel';
import type { Mutation } from '@baobabwell/model';

import {
  buildEmulatedSettings,
  EmulatedCallers,
  EmulatedFleet,
  getTeamSecret,
  listConcurrency,
  measureMeanConcurrency,
} from '@baobabwell/emulator';
import { MEMBERSHIP_SERVICE, VIEW_STORE, VIEW_WRITER } from '@baobabwell/entry';
import { FenceEvidence } from '@baobabwell/membership';
import { createPut, EntityKind } from '@baobabwell/model';
import { LedgerEvent, NO_PLATFORM_FAULTS, NO_WORKER_FAULTS } from '@baobabwell/stand-ins';
import { checkInvariant, createOk } from '@baobabwell/utils';

import { LIMITS_ENTRIES, LimitStepKind } from './BaobabwellFuzzLimitsSteps';

const TEAM = 'guilds';
const POOL = 'ovens';
const PLATFORM = 'platform';
const INITIAL_LIMIT = 5;
const CALLERS_PER_ENTRY = 6;
const SHORT_RUN_MS = 60;
const LONG_RUN_MS = 4_000;
const LONG_RUN_FRACTION = 0.1;
const REPEAT_MS = 300;
const WRITE_TIMEOUT_MS = 10_000;
/** Time within which an accepted limit is in force at all entries. */
const IN_FORCE_MS = 5_000;
/** Time after the end of all faults within which the limit can be used again. */
const RECOVERY_MS = 25_000;
const OBSERVATION_MS = 3_000;
const MIN_USE_FRACTION = 0.8;

type LimitChange = { readonly at: number; readonly limit: number };

/** Runs one history on a small fleet and checks the limit of its team. */
export class LimitsHistory {
  readonly #fleet: EmulatedFleet;

  readonly #limits: LimitChange[] = [{ at: 0, limit: INITIAL_LIMIT }];

  readonly #callers: EmulatedCallers[] = [];

  readonly #entries: readonly string[];

  constructor(seed: number, plugins: readonly Plugin[]) {
    const settings = buildEmulatedSettings({
      entries: LIMITS_ENTRIES,
      pools: [{ id: POOL, workers: 3, minimumServing: 1 }],
      teams: [{ id: TEAM, share: 1, limit: INITIAL_LIMIT }],
    });
    this.#fleet = new EmulatedFleet(settings, seed, { plugins });
    this.#entries = settings.entries.map(({ id }) => id);
  }

  /** Starts all entries and the callers of each entry. */
  async start(): Promise<void> {
    await this.#fleet.startAll();
    this.#entries.forEach((entry) => this.#startCallers(entry));
    await this.#fleet.advance(500);
  }

  /** Applies a step, advances time, and checks the limit. */
  async run(step: LimitStep): Promise<void> {
    await this.#applyStep(step);
    await this.#fleet.advance(step.waitAfterMs);
    this.#checkLimit();
  }

  /** Ends all faults and checks that the team can use its limit again. */
  async finish(): Promise<void> {
    this.#callers.forEach((callers) => callers.stop());
    this.#fleet.network.healAll();
    this.#fleet.tables.applyFaults(NO_PLATFORM_FAULTS);
    this.#fleet.listWorkers().forEach((worker) => worker.applyFaults(NO_WORKER_FAULTS));
    this.#entries.forEach((entry) => this.#restartEntry(entry));
    await this.#fleet.advance(RECOVERY_MS);
    this.#entries.forEach((entry) => this.#startCallers(entry));
    await this.#fleet.advance(OBSERVATION_MS);
    this.#checkLimit();
    this.#checkUse();
  }

  /** Closes the emulated fleet. */
  close(): void {
    this.#callers.forEach((callers) => callers.stop());
    this.#fleet.close();
  }

  #startCallers(entry: string): void {
    const { random } = this.#fleet;
    const callers = new EmulatedCallers(this.#fleet, {
      entry,
      concurrency: CALLERS_PER_ENTRY,
      buildCall: () => {
        const runMs = random.getFraction() < LONG_RUN_FRACTION ? LONG_RUN_MS : SHORT_RUN_MS;
        const body = Buffer.from(JSON.stringify({ runMs }));
        return { queue: POOL, secret: getTeamSecret(TEAM), body };
      },
    });
    callers.start();
    this.#callers.push(callers);
  }

  async #applyStep({ kind, entry: number, other: otherNumber, limit }: LimitStep): Promise<void> {
    const entry = this.#entries[number] as string;
    const other = this.#entries[otherNumber] ?? PLATFORM;
    switch (kind) {
      case LimitStepKind.FenceMember:
        await this.#fenceMember(entry, other);
        break;
      case LimitStepKind.ChangeLimit:
        await this.#changeLimit(entry, limit);
        break;
      case LimitStepKind.Stop:
        await this.#stopEntry(entry);
        break;
      case LimitStepKind.Kill:
      case LimitStepKind.Start:
      case LimitStepKind.Pause:
      case LimitStepKind.Resume:
        this.#applyToEntry(kind, entry);
        break;
      case LimitStepKind.Partition:
      case LimitStepKind.RepeatMessages:
      case LimitStepKind.Heal:
        this.#applyToNetwork(kind, entry, other);
        break;
      case LimitStepKind.StopStore:
      case LimitStepKind.StartStore:
        this.#fleet.tables.applyFaults({
          ...NO_PLATFORM_FAULTS,
          down: kind === LimitStepKind.StopStore,
        });
        break;
      case LimitStepKind.LoseAnswers:
        this.#applyWorkerFaults(number, { loseAnswers: true });
        break;
      case LimitStepKind.UnresponsiveWorker:
        this.#applyWorkerFaults(number, { silent: true });
        break;
    }
  }

  #applyToEntry(kind: LimitStepKind, entry: string): void {
    const isRunning = this.#fleet.listEntries().includes(entry);
    if (!isRunning && kind === LimitStepKind.Start) {
      this.#startEntry(entry);
    } else if (isRunning && kind === LimitStepKind.Kill) {
      this.#fleet.killEntry(entry);
    } else if (isRunning && kind === LimitStepKind.Pause) {
      this.#fleet.pauseEntry(entry);
    } else if (isRunning && kind === LimitStepKind.Resume) {
      this.#fleet.resumeEntry(entry);
    }
  }

  #applyToNetwork(kind: LimitStepKind, entry: string, other: string): void {
    if (kind === LimitStepKind.Heal) {
      this.#fleet.network.healAll();
    } else if (kind === LimitStepKind.Partition) {
      this.#fleet.network.partition(entry, other);
    } else if (other !== PLATFORM) {
      this.#fleet.network.duplicate(entry, other, REPEAT_MS);
    }
  }

  #applyWorkerFaults(number: number, faults: object): void {
    this.#fleet.listWorkers()[number]?.applyFaults({ ...NO_WORKER_FAULTS, ...faults });
  }

  #startEntry(entry: string): void {
    this.#fleet
      .createEntry(entry)
      .start()
      .catch(() => {});
  }

  /** Stops an entry; kills it, as the platform does, if it does not end in time. */
  async #stopEntry(entry: string): Promise<void> {
    if (this.#canAct(entry)) {
      try {
        await this.#fleet.stopEntry(entry);
      } catch {
        this.#fleet.killEntry(entry);
      }
    }
  }

  #restartEntry(entry: string): void {
    if (this.#fleet.listEntries().includes(entry)) {
      this.#fleet.killEntry(entry);
    }
    this.#startEntry(entry);
  }

  /** Fences a member, as the fleet does with an unresponsive one. */
  async #fenceMember(entry: string, by: string): Promise<void> {
    if (by === entry || !this.#canAct(by)) {
      return;
    }
    const member = this.#fleet.getService(by, VIEW_STORE).get().get(EntityKind.Member, entry);
    if (member !== null) {
      const service = this.#fleet.getService(by, MEMBERSHIP_SERVICE);
      await this.#settle(service.fence([member], 'fuzz', FenceEvidence.Suspicion));
    }
  }

  async #changeLimit(by: string, limit: number): Promise<void> {
    const isThere = this.#fleet.listEntries().includes(by);
    const team = isThere
      ? this.#fleet.getService(by, VIEW_STORE).get().get(EntityKind.Team, TEAM)
      : null;
    if (team === null) {
      return;
    }
    const before = this.#limits.at(-1) as LimitChange;
    const highest = Math.max(limit, before.limit);
    this.#limits.push({ at: this.#fleet.time.getNow(), limit: highest });
    const isAccepted = await this.#write(by, createPut(EntityKind.Team, { ...team, limit }));
    // A write with an unknown outcome may have taken effect, so the higher limit stays allowed.
    this.#limits.push({ at: this.#fleet.time.getNow(), limit: isAccepted ? limit : highest });
  }

  async #write(by: string, mutation: Mutation): Promise<boolean> {
    if (!this.#canAct(by)) {
      return false;
    }
    const writing = this.#fleet.getService(by, VIEW_WRITER).write<never>({
      author: 'fuzz',
      command: 'change',
      reason: 'fuzz',
      build: () => createOk([mutation]),
    });
    return (await this.#settle(writing))?.ok ?? false;
  }

  #canAct(entry: string): boolean {
    return this.#fleet.listEntries().includes(entry) && !this.#fleet.isPaused(entry);
  }

  async #settle<T>(promise: Promise<T>): Promise<T | null> {
    try {
      return await this.#fleet.time.settle(promise, WRITE_TIMEOUT_MS);
    } catch {
      return null;
    }
  }

  /** Returns the highest limit that may be in force at any entry. */
  #getLimitAt(at: number): number {
    const current = this.#limits.findLastIndex((limit) => limit.at <= at);
    const first = this.#limits.findLastIndex((limit) => limit.at <= at - IN_FORCE_MS);
    return Math.max(
      ...this.#limits.slice(Math.max(0, first), current + 1).map(({ limit }) => limit),
    );
  }

  #checkLimit(): void {
    listConcurrency(this.#fleet.listLedger(), TEAM).forEach(({ at, running, event }) => {
      const limit = this.#getLimitAt(at);
      checkInvariant(
        event !== LedgerEvent.Started || running <= limit,
        `${running} run at ${at} ms, with a limit of ${limit}`,
      );
    });
  }

  #checkUse(): void {
    const now = this.#fleet.time.getNow();
    const steps = listConcurrency(this.#fleet.listLedger(), TEAM);
    const view = this.#fleet.getService(this.#entries[0] as string, VIEW_STORE).get();
    const limit = view.get(EntityKind.Team, TEAM)?.limit ?? 0;
    const use = measureMeanConcurrency(steps, now - OBSERVATION_MS / 2, now);
    checkInvariant(
      use >= limit * MIN_USE_FRACTION,
      `only ${use} of ${limit} calls run on average after recovery`,
    );
  }
}
