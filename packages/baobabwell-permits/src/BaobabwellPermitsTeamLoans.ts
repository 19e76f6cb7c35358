import type { HoldingReport, Loan } from './BaobabwellPermits';
import type { FenceClock } from './BaobabwellPermitsFence';
import type { AllocationClaim } from '@baobabwell/scheduling';
import type { Clock } from '@baobabwell/utils';

import { buildAllocation } from '@baobabwell/scheduling';

import { IDLE_SILENCE_MS, NUDGE_PACE_MS, SILENCE_MS } from './BaobabwellPermitsConstants';

type Account = {
  /** Never less than what the member accounts for. */
  lent: number;
  needed: number;
  /** What the member was last told that it may use. */
  allowed: number;
  reportedAt: number;
  nudgedAt: number;
};

/** What one team's permits are lent to. */
export class TeamLoans {
  readonly #clock: Clock;

  readonly #fences: FenceClock;

  readonly #accounts = new Map<string, Account>();

  /** Permits that removed members may still use. */
  readonly #fenced = new Map<string, number>();

  /** Members that may hold any number of permits. */
  #unknown: readonly string[] = [];

  #isLearned = false;

  constructor(clock: Clock, fences: FenceClock) {
    this.#clock = clock;
    this.#fences = fences;
  }

  /** Whether it is known what every member holds. */
  isLearned(): boolean {
    return this.#isLearned;
  }

  /** What a member reported to these loans, or `null`. */
  getReported(member: string): number | null {
    return this.#accounts.get(member)?.lent ?? null;
  }

  /** Begins to lend, from what every member holds. */
  startLending(held: ReadonlyMap<string, number>): void {
    held.forEach((lent, member) => {
      this.#getAccount(member).lent = lent;
    });
    this.#unknown = this.#fences.listPending();
    this.#isLearned = true;
  }

  /** Keeps aside what members hold that are no longer there. */
  applyMembers(members: ReadonlySet<string>): void {
    this.#accounts.forEach(({ lent }, member) => {
      if (!members.has(member)) {
        this.#accounts.delete(member);
        this.#fenced.set(member, lent);
      }
    });
  }

  /** Takes over what a member accounts for; it will accept no earlier answer any more. */
  recordReport(member: string, { held, needed }: HoldingReport): void {
    const account = this.#getAccount(member);
    account.lent = held;
    account.needed = needed;
    account.reportedAt = this.#clock.getNow();
  }

  /** Lends to a member what is free and due to it. */
  lend(member: string, limit: number, turn: number): Omit<Loan, 'team'> {
    const account = this.#getAccount(member);
    const due = this.#buildAllocation(limit, turn).get(member) ?? 0;
    const isContended = this.#isContended();
    const free = Math.max(0, this.#getFree(limit));
    account.lent += Math.max(0, Math.min(due - account.lent, free));
    account.allowed = this.#isRecalling(limit, turn) ? due : Math.max(due, account.lent);
    return { held: account.lent, allowed: account.allowed, reserve: due, isContended };
  }

  /** Lists the members that should report: to give back, or to fetch what is free. */
  listToNudge(limit: number, turn: number): readonly string[] {
    if (!this.#isLearned) {
      return [];
    }
    const now = this.#clock.getNow();
    const free = this.#getFree(limit);
    const isRecalling = this.#isRecalling(limit, turn);
    const allocation = this.#buildAllocation(limit, turn);
    return [...this.#accounts.entries()].flatMap(([member, account]) => {
      const due = allocation.get(member) ?? 0;
      const mustReturn = isRecalling && account.lent > due && account.allowed > due;
      const mayFetch =
        free > 0 && due > account.lent && (account.needed > account.lent || account.lent === 0);
      if ((!mustReturn && !mayFetch) || now - account.nudgedAt < NUDGE_PACE_MS) {
        return [];
      }
      account.nudgedAt = now;
      return [member];
    });
  }

  /** Divides what members that report can have; the others keep what they hold. */
  #buildAllocation(limit: number, turn: number): ReadonlyMap<string, number> {
    const accounts = [...this.#accounts.entries()];
    const claims: AllocationClaim[] = accounts
      .filter(([, account]) => !this.#isSilent(account))
      .map(([member, { needed }]) => ({ member, needed }))
      .toSorted((a, b) => (a.member < b.member ? -1 : 1));
    const silent = accounts.filter(([, account]) => this.#isSilent(account));
    const stuck = silent.reduce((sum, [, { lent }]) => sum + lent, 0);
    return buildAllocation(Math.max(0, limit - this.#getFenced() - stuck), claims, turn);
  }

  /** Whether members must return what is not due to them. */
  #isRecalling(limit: number, turn: number): boolean {
    if (this.#isContended() || this.#getFree(limit) < 0) {
      return true;
    }
    const allocation = this.#buildAllocation(limit, turn);
    return [...this.#accounts.entries()].some(
      ([member, { lent }]) => lent === 0 && (allocation.get(member) ?? 0) > 0,
    );
  }

  #isContended(): boolean {
    return [...this.#accounts.values()].some(
      (account) => account.needed > account.lent && !this.#isSilent(account),
    );
  }

  #isSilent({ reportedAt, needed }: Account): boolean {
    return this.#clock.getNow() - reportedAt > (needed > 0 ? SILENCE_MS : IDLE_SILENCE_MS);
  }

  #getFree(limit: number): number {
    if (this.#unknown.some((member) => !this.#fences.isOver(member))) {
      return Math.min(0, limit - this.#getLent());
    }
    return limit - this.#getLent() - this.#getFenced();
  }

  #getLent(): number {
    return [...this.#accounts.values()].reduce((sum, { lent }) => sum + lent, 0);
  }

  #getFenced(): number {
    this.#fenced.forEach((_, member) => {
      if (this.#fences.isOver(member)) {
        this.#fenced.delete(member);
      }
    });
    return [...this.#fenced.values()].reduce((sum, lent) => sum + lent, 0);
  }

  #getAccount(member: string): Account {
    const known = this.#accounts.get(member);
    if (known !== undefined) {
      return known;
    }
    const account = {
      lent: 0,
      needed: 0,
      allowed: 0,
      reportedAt: Number.NEGATIVE_INFINITY,
      nudgedAt: Number.NEGATIVE_INFINITY,
    };
    this.#accounts.set(member, account);
    return account;
  }
}
