import type { HoldingReport, Loan } from './BaobabwellPermits';
import type { PermitUsage } from '@baobabwell/scheduling';
import type { Clock } from '@baobabwell/utils';

import { RESERVE_MS } from './BaobabwellPermitsConstants';

type Holding = {
  held: number;
  allowed: number;
  /** `null` until the keeper told. */
  reserve: number | null;
  inUse: number;
  waiting: number;
  /** Version of the view from which loans are accepted. */
  fromVersion: number;
  /** What the keeper was last told. */
  reportedNeed: number;
  isContended: boolean;
  usedAt: number;
};

/** The permits that this entry holds, by team. */
export class PermitHoldings {
  readonly #clock: Clock;

  readonly #holdings = new Map<string, Holding>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Permits with work of a team. */
  getInUse(team: string): number {
    return this.#holdings.get(team)?.inUse ?? 0;
  }

  /** Permits that this entry accounts for. */
  getHeld(team: string): number {
    return this.#holdings.get(team)?.held ?? 0;
  }

  /** Lists the teams of which permits are held or wanted. */
  listUse(): readonly PermitUsage[] {
    return [...this.#holdings].map(([team, { held, inUse, waiting }]) => ({
      team,
      held,
      inUse,
      waiting,
    }));
  }

  /** Whether work of any team runs. */
  hasInUse(): boolean {
    return [...this.#holdings.values()].some(({ inUse }) => inUse > 0);
  }

  /** Permits that may be taken into use. */
  getIdle(team: string): number {
    const { held, allowed, inUse } = this.#getHolding(team);
    return Math.max(0, Math.min(held, allowed) - inUse);
  }

  /** Whether this entry has what is due to it while nobody waits. */
  hasReserve(team: string): boolean {
    const { held, reserve } = this.#getHolding(team);
    return reserve !== null && (held > 0 || reserve === 0);
  }

  /** Takes a permit into use; false when none may be used. */
  acquire(team: string): boolean {
    const holding = this.#getHolding(team);
    holding.usedAt = this.#clock.getNow();
    if (holding.inUse >= Math.min(holding.held, holding.allowed)) {
      return false;
    }
    holding.inUse += 1;
    return true;
  }

  /** Ends the use of a permit; returns whether the permit goes back to the keeper. */
  release(team: string): boolean {
    const holding = this.#getHolding(team);
    holding.inUse -= 1;
    holding.usedAt = this.#clock.getNow();
    return this.#returnSurplus(holding);
  }

  /** Counts a call that waits, or with -1 one that no longer does. */
  addWaiting(team: string, count: number): void {
    const holding = this.#getHolding(team);
    holding.waiting += count;
    holding.usedAt = this.#clock.getNow();
  }

  /** Whether the keeper does not know yet that this entry needs more than it holds. */
  hasUntoldNeed(team: string): boolean {
    const { held, inUse, waiting, reportedNeed } = this.#getHolding(team);
    return inUse + waiting > held && reportedNeed <= held;
  }

  /** Returns idle permits that others need or that were long unused; says whether any went. */
  returnIdle(): boolean {
    const before = this.#clock.getNow() - RESERVE_MS;
    let hasReturned = false;
    this.#holdings.forEach((holding) => {
      const { held, inUse, reserve, usedAt } = holding;
      if (reserve !== null && usedAt < before && held > reserve) {
        Object.assign(holding, { held: Math.max(inUse, reserve) });
      }
      this.#returnSurplus(holding);
      hasReturned ||= holding.held < held;
    });
    return hasReturned;
  }

  /** Uses nothing of a team beyond running work until the keeper lends by this version or later. */
  withdraw(team: string, fromVersion: number): void {
    const holding = this.#holdings.get(team);
    if (holding !== undefined) {
      Object.assign(holding, { allowed: 0, held: holding.inUse, fromVersion });
    }
  }

  /** Withdraws every team. */
  withdrawAll(fromVersion: number): void {
    this.#holdings.forEach((_, team) => this.withdraw(team, fromVersion));
  }

  /** Gives up all that is not in use, for good. */
  stop(): void {
    this.withdrawAll(Number.POSITIVE_INFINITY);
  }

  /** Builds what the keeper of a team is told. */
  report(team: string): HoldingReport {
    const holding = this.#getHolding(team);
    const needed = holding.inUse + holding.waiting;
    holding.reportedNeed = needed;
    return { team, held: holding.held, needed };
  }

  /** Takes over what the keeper lent; returns whether more can be started than before. */
  applyLoan({ team, held, allowed, reserve, isContended }: Loan, version: number): boolean {
    const holding = this.#getHolding(team);
    if (version < holding.fromVersion) {
      return false;
    }
    const usableBefore = Math.min(holding.held, holding.allowed);
    Object.assign(holding, { allowed, reserve, isContended, held: Math.max(holding.held, held) });
    this.#returnSurplus(holding);
    return Math.min(holding.held, holding.allowed) > usableBefore;
  }

  #returnSurplus(holding: Holding): boolean {
    const { held, allowed, inUse, waiting, isContended } = holding;
    const kept = isContended ? Math.min(allowed, inUse + waiting) : allowed;
    holding.held = Math.min(held, Math.max(inUse, kept));
    return holding.held < held;
  }

  #getHolding(team: string): Holding {
    const known = this.#holdings.get(team);
    if (known !== undefined) {
      return known;
    }
    const holding: Holding = {
      held: 0,
      allowed: 0,
      reserve: null,
      inUse: 0,
      waiting: 0,
      fromVersion: 0,
      reportedNeed: 0,
      isContended: false,
      usedAt: this.#clock.getNow(),
    };
    this.#holdings.set(team, holding);
    return holding;
  }
}
