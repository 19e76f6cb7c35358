import type { HoldingReport, Loan, PermitReply, PermitReport } from './BaobabwellPermits';
import type { FenceClock } from './BaobabwellPermitsFence';
import type { Clock } from '@baobabwell/utils';

import { REMAINDER_ROTATION_INTERVAL_MS } from './BaobabwellPermitsConstants';
import { Membership } from './BaobabwellPermitsMembership';
import { TeamLoans } from './BaobabwellPermitsTeamLoans';

/** Dependencies of {@link PermitKeeper}. */
export type PermitKeeperDependencies = {
  readonly clock: Clock;
  readonly fences: FenceClock;
  /** Returns the key of this entry's current incarnation. */
  readonly getMember: () => string;
  /** Returns whether the view is recent enough to lend permits. */
  readonly isCurrent: () => boolean;
  readonly getVersion: () => number;
  /** Returns the upper limit of a team across the fleet; `null` when it has none. */
  readonly getLimit: (team: string) => number | null;
  /** Asks a member to report now. */
  readonly requestReport: (member: string) => void;
};

/** Lends the permits of the teams whose keeper is this entry. */
export class PermitKeeper {
  readonly #dependencies: PermitKeeperDependencies;

  readonly #teams = new Map<string, TeamLoans>();

  /** Sequence number of the last report of each member. */
  readonly #sequences = new Map<string, number>();

  /** First report of each member under the current membership. */
  readonly #firstReports = new Map<string, readonly HoldingReport[]>();

  #membership = Membership.EMPTY;

  constructor(dependencies: PermitKeeperDependencies) {
    this.#dependencies = dependencies;
  }

  /**
   * Applies a new membership.
   *
   * @param isContinuous whether every membership since the previous call was applied here too.
   */
  applyMembership(membership: Membership, isContinuous: boolean): void {
    const previous = this.#membership;
    this.#membership = membership;
    this.#firstReports.clear();
    this.#teams.forEach((loans, team) => {
      const isKeeper = membership.getKeeper(team) === this.#dependencies.getMember();
      if (isKeeper && isContinuous && loans.isLending()) {
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

  /** Handles a report of a member, which may be this entry itself. */
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
    if (!this.#dependencies.isCurrent()) {
      return { kind: 'not-current' };
    }
    const loans = this.#listKeeperTeams(report).flatMap((team) => this.#lend(report, team));
    this.rebalance();
    return { kind: 'loans', version: this.#dependencies.getVersion(), loans };
  }

  /** Asks the members that must return permits, or that can borrow some, to report now. */
  rebalance(): void {
    const membersToAsk = new Set<string>();
    this.#teams.forEach((loans, team) => {
      loans
        .listMembersToAsk(this.#dependencies.getLimit(team) ?? 0, this.#getRotation())
        .forEach((member) => membersToAsk.add(member));
    });
    membersToAsk.forEach((member) => this.#dependencies.requestReport(member));
  }

  #recordReport(report: PermitReport): void {
    const { fences, getMember, clock } = this.#dependencies;
    if (report.isLeaving) {
      fences.recordDeparture(report.member);
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
      this.#startLending(loans, team);
    });
  }

  /** Starts lending a team's permits once every member has reported its holdings. */
  #startLending(loans: TeamLoans, team: string): void {
    const { members } = this.#membership;
    if (loans.isLending() || this.#firstReports.size < members.size) {
      return;
    }
    const held = new Map(
      [...members.keys()].map((member) => [
        member,
        loans.getReportedPermits(member) ??
          this.#firstReports.get(member)?.find((one) => one.team === team)?.held ??
          0,
      ]),
    );
    loans.startLending(held);
  }

  #listKeeperTeams({ holdings }: PermitReport): readonly string[] {
    return holdings.map(({ team }) => team).filter((team) => this.#teams.has(team));
  }

  #lend(report: PermitReport, team: string): readonly Loan[] {
    const loans = this.#teams.get(team);
    const limit = this.#dependencies.getLimit(team);
    if (loans === undefined || limit === null || !loans.isLending()) {
      return [];
    }
    return [{ team, ...loans.lend(report.member, limit, this.#getRotation()) }];
  }

  #getRotation(): number {
    return Math.floor(this.#dependencies.clock.getNow() / REMAINDER_ROTATION_INTERVAL_MS);
  }
}
