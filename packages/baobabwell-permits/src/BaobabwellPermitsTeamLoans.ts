import type { HoldingReport, Loan } from './BaobabwellPermits';
import type { FenceClock } from './BaobabwellPermitsFence';
import type { AllocationClaim } from '@baobabwell/scheduling';
import type { Clock } from '@baobabwell/utils';

import { buildAllocation } from '@baobabwell/scheduling';

import {
  ACTIVE_MEMBER_TIMEOUT_MS,
  IDLE_MEMBER_TIMEOUT_MS,
  MIN_REPORT_REQUEST_INTERVAL_MS,
} from './BaobabwellPermitsConstants';

type Account = {
  /** Never less than the number of permits that the member holds. */
  lent: number;
  needed: number;
  /** Number of permits that the last loan allowed the member to use. */
  allowed: number;
  reportedAt: number;
  reportRequestedAt: number;
};

/** Loans of one team's permits to the members. */
export class TeamLoans {
  readonly #clock: Clock;

  readonly #fences: FenceClock;

  readonly #accounts = new Map<string, Account>();

  /** Numbers of permits that removed members may still use, by member. */
  readonly #fencedPermits = new Map<string, number>();

  /** Members that were removed before lending started and may hold any number of permits. */
  #unreportedMembers: readonly string[] = [];

  #isLending = false;

  constructor(clock: Clock, fences: FenceClock) {
    this.#clock = clock;
    this.#fences = fences;
  }

  /** Returns whether lending has started, which requires the holdings of every member. */
  isLending(): boolean {
    return this.#isLending;
  }

  /** Returns the number of permits that a member reported, or `null` without a report. */
  getReportedPermits(member: string): number | null {
    return this.#accounts.get(member)?.lent ?? null;
  }

  /** Starts lending, with the number of permits that each member holds. */
  startLending(held: ReadonlyMap<string, number>): void {
    held.forEach((lent, member) => {
      this.#getAccount(member).lent = lent;
    });
    this.#unreportedMembers = this.#fences.listPending();
    this.#isLending = true;
  }

  /** Reserves the permits of removed members until their fences have expired. */
  applyMembers(members: ReadonlySet<string>): void {
    this.#accounts.forEach(({ lent }, member) => {
      if (!members.has(member)) {
        this.#accounts.delete(member);
        this.#fencedPermits.set(member, lent);
      }
    });
  }

  /** Records the holdings of a member, which accepts no reply to an earlier report any more. */
  recordReport(member: string, { held, needed }: HoldingReport): void {
    const account = this.#getAccount(member);
    account.lent = held;
    account.needed = needed;
    account.reportedAt = this.#clock.getNow();
  }

  /** Lends a member the permits that are allocated to it, as far as they are available. */
  lend(member: string, limit: number, rotation: number): Omit<Loan, 'team'> {
    const account = this.#getAccount(member);
    const allocated = this.#buildAllocation(limit, rotation).get(member) ?? 0;
    const isContended = this.#isContended();
    const available = Math.max(0, this.#getAvailable(limit));
    account.lent += Math.max(0, Math.min(allocated - account.lent, available));
    account.allowed = this.#isRecalling(limit, rotation)
      ? allocated
      : Math.max(allocated, account.lent);
    return { held: account.lent, allowed: account.allowed, reserve: allocated, isContended };
  }

  /** Lists the members to ask for a report, to return permits or to borrow available ones. */
  listMembersToAsk(limit: number, rotation: number): readonly string[] {
    if (!this.#isLending) {
      return [];
    }
    const now = this.#clock.getNow();
    const available = this.#getAvailable(limit);
    const isRecalling = this.#isRecalling(limit, rotation);
    const allocation = this.#buildAllocation(limit, rotation);
    return [...this.#accounts.entries()].flatMap(([member, account]) => {
      const allocated = allocation.get(member) ?? 0;
      const shouldReturn = isRecalling && account.lent > allocated && account.allowed > allocated;
      const canBorrow =
        available > 0 &&
        allocated > account.lent &&
        (account.needed > account.lent || account.lent === 0);
      if (
        (!shouldReturn && !canBorrow) ||
        now - account.reportRequestedAt < MIN_REPORT_REQUEST_INTERVAL_MS
      ) {
        return [];
      }
      account.reportRequestedAt = now;
      return [member];
    });
  }

  /**
   * Divides the permits among the responsive members. Unresponsive members keep the permits that
   * they hold.
   */
  #buildAllocation(limit: number, rotation: number): ReadonlyMap<string, number> {
    const accounts = [...this.#accounts.entries()];
    const claims: AllocationClaim[] = accounts
      .filter(([, account]) => !this.#isUnresponsive(account))
      .map(([member, { needed }]) => ({ member, needed }))
      .toSorted((a, b) => (a.member < b.member ? -1 : 1));
    const unresponsive = accounts.filter(([, account]) => this.#isUnresponsive(account));
    const lentToUnresponsive = unresponsive.reduce((sum, [, { lent }]) => sum + lent, 0);
    return buildAllocation(
      Math.max(0, limit - this.#countFenced() - lentToUnresponsive),
      claims,
      rotation,
    );
  }

  /** Returns whether members must return the permits beyond their allocation. */
  #isRecalling(limit: number, rotation: number): boolean {
    if (this.#isContended() || this.#getAvailable(limit) < 0) {
      return true;
    }
    const allocation = this.#buildAllocation(limit, rotation);
    return [...this.#accounts.entries()].some(
      ([member, { lent }]) => lent === 0 && (allocation.get(member) ?? 0) > 0,
    );
  }

  #isContended(): boolean {
    return [...this.#accounts.values()].some(
      (account) => account.needed > account.lent && !this.#isUnresponsive(account),
    );
  }

  #isUnresponsive({ reportedAt, needed }: Account): boolean {
    return (
      this.#clock.getNow() - reportedAt >
      (needed > 0 ? ACTIVE_MEMBER_TIMEOUT_MS : IDLE_MEMBER_TIMEOUT_MS)
    );
  }

  #getAvailable(limit: number): number {
    if (this.#unreportedMembers.some((member) => !this.#fences.isExpired(member))) {
      return Math.min(0, limit - this.#countLent());
    }
    return limit - this.#countLent() - this.#countFenced();
  }

  #countLent(): number {
    return [...this.#accounts.values()].reduce((sum, { lent }) => sum + lent, 0);
  }

  #countFenced(): number {
    this.#fencedPermits.forEach((_, member) => {
      if (this.#fences.isExpired(member)) {
        this.#fencedPermits.delete(member);
      }
    });
    return [...this.#fencedPermits.values()].reduce((sum, lent) => sum + lent, 0);
  }

  #getAccount(member: string): Account {
    const existing = this.#accounts.get(member);
    if (existing !== undefined) {
      return existing;
    }
    const account = {
      lent: 0,
      needed: 0,
      allowed: 0,
      reportedAt: Number.NEGATIVE_INFINITY,
      reportRequestedAt: Number.NEGATIVE_INFINITY,
    };
    this.#accounts.set(member, account);
    return account;
  }
}
