import type { HoldingReport, Loan, PermitReply, PermitReport } from './BaobabwellPermits';
import type { FenceClock } from './BaobabwellPermitsFence';
import type { Clock } from '@baobabwell/utils';

import { ROTATION_MS } from './BaobabwellPermitsConstants';
import { Membership } from './BaobabwellPermitsMembership';
import { TeamLoans } from './BaobabwellPermitsTeamLoans';

/** What a keeper works with. */
export type PermitKeeperParts = {
  readonly clock: Clock;
  readonly fences: FenceClock;
  /** Key of this entry's own life. */
  readonly getMember: () => string;
  readonly isCurrent: () => boolean;
  readonly getVersion: () => number;
  /** Upper limit of a team across the fleet; `null` when it has none. */
  readonly getLimit: (team: string) => number | null;
  /** Asks a member to report at once. */
  readonly onNudge: (member: string) => void;
};

/** Lends the permits of the teams that this entry keeps. */
export class PermitKeeper {
  readonly #parts: PermitKeeperParts;

  readonly #teams = new Map<string, TeamLoans>();

  /** Number of the last report of each member. */
  readonly #sequences = new Map<string, number>();

  /** First report of each member under the current membership. */
  readonly #firstReports = new Map<string, readonly HoldingReport[]>();

  #membership = Membership.EMPTY;

  constructor(parts: PermitKeeperParts) {
    this.#parts = parts;
  }

  /**
   * Goes over to a new membership.
   *
   * @param isContinuous whether every membership in between was applied here too.
   */
  applyMembership(membership: Membership, isContinuous: boolean): void {
    const previous = this.#membership;
    this.#membership = membership;
    this.#firstReports.clear();
    this.#teams.forEach((loans, team) => {
      const isKept = membership.getKeeper(team) === this.#parts.getMember();
      if (isKept && isContinuous && loans.isLearned()) {
        loans.applyMembers(new Set(membership.members.keys()));
      } else {
        this.#teams.delete(team);
      }
    });
    previous.members.forEach((_, member) => {
      if (!membership.members.has(member)) {
        this.#sequences.delete(member);
      }
    });
  }

  /** Answers a report of a member, which may be this entry itself. */
  handleReport(report: PermitReport): PermitReply {
    const isMember = this.#membership.members.has(report.member);
    if (!isMember || report.membership !== this.#membership.digest) {
      return { kind: 'other-membership' };
    }
    if ((this.#sequences.get(report.member) ?? 0) >= report.sequence) {
      return { kind: 'overtaken' };
    }
    this.#sequences.set(report.member, report.sequence);
    this.#recordReport(report);
    if (!this.#parts.isCurrent()) {
      return { kind: 'not-current' };
    }
    const loans = this.#listTeams(report).flatMap((team) => this.#lend(report, team));
    this.rebalance();
    return { kind: 'loans', version: this.#parts.getVersion(), loans };
  }

  /** Asks members to give back or to fetch what is theirs by now. */
  rebalance(): void {
    const nudged = new Set<string>();
    this.#teams.forEach((loans, team) => {
      loans
        .listToNudge(this.#parts.getLimit(team) ?? 0, this.#getTurn())
        .forEach((member) => nudged.add(member));
    });
    nudged.forEach((member) => this.#parts.onNudge(member));
  }

  #recordReport(report: PermitReport): void {
    const { fences, getMember, clock } = this.#parts;
    if (report.isLeaving) {
      fences.recordLeft(report.member);
    }
    if (!this.#firstReports.has(report.member)) {
      this.#firstReports.set(report.member, report.holdings);
    }
    report.holdings.forEach(({ team }) => {
      if (this.#membership.getKeeper(team) === getMember() && !this.#teams.has(team)) {
        this.#teams.set(team, new TeamLoans(clock, fences));
      }
    });
    this.#teams.forEach((loans, team) => {
      const holding = report.holdings.find((one) => one.team === team);
      loans.recordReport(report.member, holding ?? { team, held: 0, needed: 0 });
      this.#learn(loans, team);
    });
  }

  /** Opens a team's loans once every member has told what it holds. */
  #learn(loans: TeamLoans, team: string): void {
    const { members } = this.#membership;
    if (loans.isLearned() || this.#firstReports.size < members.size) {
      return;
    }
    const held = new Map(
      [...members.keys()].map((member) => [
        member,
        loans.getReported(member) ??
          this.#firstReports.get(member)?.find((one) => one.team === team)?.held ??
          0,
      ]),
    );
    loans.startLending(held);
  }

  #listTeams({ holdings }: PermitReport): readonly string[] {
    return holdings.map(({ team }) => team).filter((team) => this.#teams.has(team));
  }

  #lend(report: PermitReport, team: string): readonly Loan[] {
    const loans = this.#teams.get(team);
    const limit = this.#parts.getLimit(team);
    if (loans === undefined || limit === null || !loans.isLearned()) {
      return [];
    }
    return [{ team, ...loans.lend(report.member, limit, this.#getTurn()) }];
  }

  #getTurn(): number {
    return Math.floor(this.#parts.clock.getNow() / ROTATION_MS);
  }
}
