import type { RunOnHost } from './BaobabwellJobsModel';

/** Suspicion that a task crashes its hosts. */
export enum CrashSuspicion {
  None = 'none',
  /** One host crashed shortly after it had started this task and others. */
  Weak = 'weak',
  /** Several hosts crashed, or one on which no other task had just started. */
  Strong = 'strong',
}

/**
 * Crashes after which a task is given up; an attributed one counts twice. It leaves room for one that a
 * lost owner did not count.
 */
const MAX_CRASHES = 4;

/** Time for which a host that refused connections may return and show that it did not crash, in ms. */
const REFUTATION_MS = 10_000;

const NO_RUNS: readonly number[] = [];

/** A crash as far as it is known when it is recorded. */
export type CrashEvidence = {
  /** No other task can have caused the crash. */
  readonly isAttributed: boolean;
  /** The host refused connections and is no longer listed; it may only be cut off. */
  readonly isRefutable: boolean;
};

/** The crashes of hosts for which a task may be the cause, by the numbers of its runs there. */
export class TaskCrashes {
  #runs = NO_RUNS;

  #attributedRuns = NO_RUNS;

  /** Those of the latest runs whose hosts may still return, with the time until which they may, in ms. */
  #refutableRuns: Map<number, RunOnHost & { readonly untilMs: number }> | null = null;

  /** Runs on hosts that are silent: they have crashed, or nothing reaches them. */
  #unconfirmedRuns: Map<number, RunOnHost> | null = null;

  /** Latest runs under which a host crashed: as many as suffice to give a task up. */
  get runs(): readonly number[] {
    return this.#runs;
  }

  /** Those of these runs for which no other task can have caused the crash. */
  get attributedRuns(): readonly number[] {
    return this.#attributedRuns;
  }

  /** Runs whose hosts are silent and may have crashed under them. */
  get unconfirmedRuns(): readonly RunOnHost[] {
    return [...(this.#unconfirmedRuns?.values() ?? [])];
  }

  /** Runs under which a host is taken for crashed that may still return. */
  get refutableRuns(): readonly RunOnHost[] {
    return [...(this.#refutableRuns?.values() ?? [])];
  }

  get suspicion(): CrashSuspicion {
    const count = this.#runs.length + (this.#unconfirmedRuns?.size ?? 0);
    if (count === 0) {
      return CrashSuspicion.None;
    }
    return count > 1 || this.#attributedRuns.length > 0
      ? CrashSuspicion.Strong
      : CrashSuspicion.Weak;
  }

  /** True when the task has probably crashed so many hosts that it must not be started for now. */
  get areTooMany(): boolean {
    return this.#runs.length + this.#attributedRuns.length >= MAX_CRASHES;
  }

  /** True when the task has crashed so many hosts that it must not be started again. */
  get areFinal(): boolean {
    const certain = this.#runs.filter((runNumber) => this.#refutableRuns?.has(runNumber) !== true);
    return certain.length + this.#attributedRuns.length >= MAX_CRASHES;
  }

  /** Records that a host crashed under a run; returns false if that was recorded before. */
  record(run: RunOnHost, { isAttributed, isRefutable }: CrashEvidence, nowMs: number): boolean {
    this.#unconfirmedRuns?.delete(run.number);
    if (this.#runs.includes(run.number)) {
      return false;
    }
    this.#runs = [...this.#runs, run.number].slice(-MAX_CRASHES);
    if (isAttributed) {
      this.#attributedRuns = [...this.#attributedRuns, run.number].slice(-MAX_CRASHES);
    }
    if (isRefutable) {
      this.#addRefutable(run, nowMs);
    }
    return true;
  }

  /** Removes the crashes of a host that returned in the same incarnation; returns their runs. */
  refute(hostId: string, bornMs: number): readonly number[] {
    const refuted = this.refutableRuns
      .filter((run) => run.hostId === hostId && run.hostBornMs === bornMs)
      .map(({ number }) => number);
    refuted.forEach((runNumber) => this.#refutableRuns?.delete(runNumber));
    this.#runs = this.#runs.filter((runNumber) => !refuted.includes(runNumber));
    return refuted;
  }

  /** Makes the crashes final whose hosts have not returned in time. */
  settle(nowMs: number): void {
    this.#refutableRuns?.forEach(({ untilMs }, runNumber) => {
      if (nowMs >= untilMs) {
        this.#refutableRuns?.delete(runNumber);
      }
    });
  }

  #addRefutable({ number, hostId, hostBornMs }: RunOnHost, nowMs: number): void {
    const untilMs = nowMs + REFUTATION_MS;
    this.#refutableRuns ??= new Map();
    this.#refutableRuns.set(number, { number, hostId, hostBornMs, untilMs });
  }

  /** Adds a run whose host is silent and may have crashed under it. */
  addUnconfirmed(run: RunOnHost): void {
    if (!this.#runs.includes(run.number)) {
      this.#unconfirmedRuns ??= new Map();
      this.#unconfirmedRuns.set(run.number, run);
    }
  }

  /** Removes a run whose host turned out not to have crashed under it. */
  removeUnconfirmed(runNumber: number): void {
    this.#unconfirmedRuns?.delete(runNumber);
  }

  /** Restores crashes that a former owner stored; hosts that may return have the whole time again. */
  restore(
    stored: {
      readonly runs: readonly number[];
      readonly attributedRuns: readonly number[];
      readonly refutableRuns: readonly RunOnHost[];
    },
    nowMs: number,
  ): void {
    this.#runs = stored.runs;
    this.#attributedRuns = stored.attributedRuns;
    stored.refutableRuns.forEach((run) => this.#addRefutable(run, nowMs));
  }
}
