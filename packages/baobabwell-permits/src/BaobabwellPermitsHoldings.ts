import type { HoldingReport, Loan } from './BaobabwellPermits';
import type { PermitUsage } from '@baobabwell/scheduling';
import type { Clock } from '@baobabwell/utils';

import { UNUSED_PERMIT_TIMEOUT_MS } from './BaobabwellPermitsConstants';

type Holding = {
  held: number;
  allowed: number;
  /** `null` until the first loan of the keeper. */
  reserve: number | null;
  inUse: number;
  waiting: number;
  /** Lowest version of the view at which the keeper's loans are accepted. */
  minLoanVersion: number;
  /** Number of needed permits in the last report to the keeper. */
  reportedNeeded: number;
  isContended: boolean;
  lastUsedAt: number;
};

/** The permits that this entry holds, by team. */
export class PermitHoldings {
  readonly #clock: Clock;

  readonly #holdings = new Map<string, Holding>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Returns the number of a team's permits that are in use. */
  getInUse(team: string): number {
    return this.#holdings.get(team)?.inUse ?? 0;
  }

  /** Returns the number of a team's permits that this entry holds. */
  getHeld(team: string): number {
    return this.#holdings.get(team)?.held ?? 0;
  }

  /** Lists the usage of permits by team. */
  listUsage(): readonly PermitUsage[] {
    return [...this.#holdings].map(([team, { held, inUse, waiting }]) => ({
      team,
      held,
      inUse,
      waiting,
    }));
  }

  /** Returns whether a permit of any team is in use. */
  hasInUse(): boolean {
    return [...this.#holdings.values()].some(({ inUse }) => inUse > 0);
  }

  /** Returns the number of unused permits that work may acquire. */
  getAvailable(team: string): number {
    const { held, allowed, inUse } = this.#getHolding(team);
    return Math.max(0, Math.min(held, allowed) - inUse);
  }

  /** Returns whether this entry holds permits of its reserve, or its reserve is zero. */
  hasReserve(team: string): boolean {
    const { held, reserve } = this.#getHolding(team);
    return reserve !== null && (held > 0 || reserve === 0);
  }

  /** Acquires a permit; returns false when none is available. */
  acquire(team: string): boolean {
    const holding = this.#getHolding(team);
    holding.lastUsedAt = this.#clock.getNow();
    if (holding.inUse >= Math.min(holding.held, holding.allowed)) {
      return false;
    }
    holding.inUse += 1;
    return true;
  }

  /** Releases a permit; returns whether it goes back to the keeper. */
  release(team: string): boolean {
    const holding = this.#getHolding(team);
    holding.inUse -= 1;
    holding.lastUsedAt = this.#clock.getNow();
    return this.#returnSurplus(holding);
  }

  /** Adds `count` to the number of waiting calls; -1 removes one. */
  addWaiting(team: string, count: number): void {
    const holding = this.#getHolding(team);
    holding.waiting += count;
    holding.lastUsedAt = this.#clock.getNow();
  }

  /** Returns whether this entry needs more permits than it holds and has not reported that yet. */
  hasUnreportedShortage(team: string): boolean {
    const { held, inUse, waiting, reportedNeeded } = this.#getHolding(team);
    return inUse + waiting > held && reportedNeeded <= held;
  }

  /**
   * Gives back idle permits that others need or that were unused for
   * {@link UNUSED_PERMIT_TIMEOUT_MS}; returns whether there were any.
   */
  returnIdle(): boolean {
    const unusedSince = this.#clock.getNow() - UNUSED_PERMIT_TIMEOUT_MS;
    let hasReturned = false;
    this.#holdings.forEach((holding) => {
      const { held, inUse, reserve, lastUsedAt } = holding;
      if (reserve !== null && lastUsedAt < unusedSince && held > reserve) {
        Object.assign(holding, { held: Math.max(inUse, reserve) });
      }
      this.#returnSurplus(holding);
      hasReturned ||= holding.held < held;
    });
    return hasReturned;
  }

  /**
   * Blocks new use of a team's permits until the keeper lends at version `minLoanVersion` of the
   * view or later.
   */
  withdraw(team: string, minLoanVersion: number): void {
    const holding = this.#holdings.get(team);
    if (holding !== undefined) {
      Object.assign(holding, { allowed: 0, held: holding.inUse, minLoanVersion });
    }
  }

  /** Withdraws the permits of every team. */
  withdrawAll(minLoanVersion: number): void {
    this.#holdings.forEach((_, team) => this.withdraw(team, minLoanVersion));
  }

  /** Withdraws all permits that are not in use and accepts no further loans. */
  stop(): void {
    this.withdrawAll(Number.POSITIVE_INFINITY);
  }

  /** Builds the report on a team for its keeper, and records the reported requirement. */
  buildHoldingReport(team: string): HoldingReport {
    const holding = this.#getHolding(team);
    const needed = holding.inUse + holding.waiting;
    holding.reportedNeeded = needed;
    return { team, held: holding.held, needed };
  }

  /** Applies a loan of the keeper; returns whether more permits can be used than before. */
  applyLoan({ team, held, allowed, reserve, isContended }: Loan, version: number): boolean {
    const holding = this.#getHolding(team);
    if (version < holding.minLoanVersion) {
      return false;
    }
    const usableBefore = Math.min(holding.held, holding.allowed);
    Object.assign(holding, { allowed, reserve, isContended, held: Math.max(holding.held, held) });
    this.#returnSurplus(holding);
    return Math.min(holding.held, holding.allowed) > usableBefore;
  }

  #returnSurplus(holding: Holding): boolean {
    const { held, allowed, inUse, waiting, isContended } = holding;
    const retained = isContended ? Math.min(allowed, inUse + waiting) : allowed;
    holding.held = Math.min(held, Math.max(inUse, retained));
    return holding.held < held;
  }

  #getHolding(team: string): Holding {
    const existing = this.#holdings.get(team);
    if (existing !== undefined) {
      return existing;
    }
    const holding: Holding = {
      held: 0,
      allowed: 0,
      reserve: null,
      inUse: 0,
      waiting: 0,
      minLoanVersion: 0,
      reportedNeeded: 0,
      isContended: false,
      lastUsedAt: this.#clock.getNow(),
    };
    this.#holdings.set(team, holding);
    return holding;
  }
}
