import type { PermitReply, PermitReport } from './BaobabwellPermits';
import type { FenceClock } from './BaobabwellPermitsFence';
import type { PermitPeer, PermitPeerService } from './BaobabwellPermitsPeers';
import type { Undo } from '@baobabwell/kernel';
import type { FleetView, Member } from '@baobabwell/model';
import type { Permit, PermitUsage } from '@baobabwell/scheduling';
import type { Clock } from '@baobabwell/utils';
import type { ViewUpdate } from '@baobabwell/view';

import { EntityKind } from '@baobabwell/model';
import { PermitPool } from '@baobabwell/scheduling';

import {
  FIRST_LOANS_TIMEOUT_MS,
  REBALANCE_INTERVAL_MS,
  STARTUP_REPORT_INTERVAL_MS,
} from './BaobabwellPermitsConstants';
import { PermitHoldings } from './BaobabwellPermitsHoldings';
import { PermitKeeper } from './BaobabwellPermitsKeeper';
import { Membership } from './BaobabwellPermitsMembership';
import { LocalPermitPeer } from './BaobabwellPermitsPeers';
import { PermitPeerTask } from './BaobabwellPermitsPeerTask';

/** Dependencies of {@link KeeperPermitPool}. */
export type KeeperPermitPoolDependencies = {
  readonly clock: Clock;
  /** Returns the key of this entry's current incarnation. */
  readonly getMember: () => string;
  readonly fences: FenceClock;
  readonly getView: () => FleetView;
  /** Returns whether the view is recent enough to lend permits. */
  readonly isCurrent: () => boolean;
  /** Creates the client for another member. */
  readonly createPeer: (member: Member) => PermitPeer;
};

/** Borrows permits from each team's keeper, and lends permits as keeper of other teams. */
export class KeeperPermitPool extends PermitPool {
  /** Handlers for the requests of peers. */
  readonly service: PermitPeerService;

  readonly #dependencies: KeeperPermitPoolDependencies;

  readonly #holdings: PermitHoldings;

  readonly #keeper: PermitKeeper;

  readonly #tasks = new Map<string, PermitPeerTask>();

  readonly #listeners = new Set<(team: string) => void>();

  readonly #stopped = new AbortController();

  #membership = Membership.EMPTY;

  constructor(dependencies: KeeperPermitPoolDependencies) {
    super();
    this.#dependencies = dependencies;
    this.#holdings = new PermitHoldings(dependencies.clock);
    this.#keeper = new PermitKeeper({
      ...dependencies,
      getVersion: () => dependencies.getView().version,
      getLimit: (team) => this.#getLimit(team),
      requestReport: (member) => {
        void this.#tasks.get(member)?.requestReport();
      },
    });
    this.service = {
      handleReport: (report) => this.#keeper.handleReport(report),
      handleReportRequest: (keeper) => this.#tasks.get(keeper)?.notify(),
    };
  }

  override acquire(team: string): Permit | null {
    if (this.#getLimit(team) === null) {
      return { team, release: () => {} };
    }
    if (
      !this.#membership.members.has(this.#dependencies.getMember()) ||
      !this.#holdings.acquire(team)
    ) {
      return null;
    }
    let isReleased = false;
    const release = (): void => {
      if (!isReleased) {
        isReleased = true;
        this.#release(team);
      }
    };
    return { team, release };
  }

  override getAvailable(team: string): number {
    return this.#getLimit(team) === null
      ? Number.POSITIVE_INFINITY
      : this.#holdings.getAvailable(team);
  }

  override addWaiting(team: string, count: number): void {
    if (this.#getLimit(team) !== null) {
      this.#holdings.addWaiting(team, count);
      if (this.#holdings.hasUnreportedShortage(team)) {
        this.#notifyKeeper(team);
      }
    }
  }

  override listUsage(): readonly PermitUsage[] {
    return this.#holdings.listUsage();
  }

  override registerListener(listener: (team: string) => void): Undo {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  /** Returns the number of a team's permits that this entry holds. */
  getHeld(team: string): number {
    return this.#holdings.getHeld(team);
  }

  /** Applies the changed limits and members of a new view. */
  update({ previous, current, change, isSnapshot }: ViewUpdate): void {
    const isContinuous = !isSnapshot;
    const kinds = new Set(change.mutations.map(({ kind }) => kind));
    if (!isContinuous || kinds.has(EntityKind.Team)) {
      this.#withdrawLoweredLimits(previous, current);
    }
    if (!isContinuous || kinds.has(EntityKind.Member)) {
      this.#applyMembership(Membership.create(current), isContinuous);
    }
  }

  /** Borrows and lends permits until {@link stop} is called. */
  async run(): Promise<void> {
    const { clock, getView } = this.#dependencies;
    this.#applyMembership(Membership.create(getView()), false);
    while (!this.#stopped.signal.aborted) {
      this.#keeper.rebalance();
      if (this.#holdings.returnIdle()) {
        this.#tasks.forEach((task) => task.notify());
      }
      await clock.wait(REBALANCE_INTERVAL_MS, this.#stopped.signal);
    }
  }

  /** Waits up to {@link FIRST_LOANS_TIMEOUT_MS} for the reserve of every team. */
  async waitForReserve(): Promise<void> {
    const { clock, getView } = this.#dependencies;
    const until = clock.getNow() + FIRST_LOANS_TIMEOUT_MS;
    const hasReserve = (): boolean =>
      getView()
        .list(EntityKind.Team)
        .every(({ id }) => this.#holdings.hasReserve(id));
    while (!hasReserve() && clock.getNow() < until && !this.#stopped.signal.aborted) {
      this.#tasks.forEach((task) => task.notify());
      await clock.wait(STARTUP_REPORT_INTERVAL_MS);
    }
  }

  /** Withdraws all permits, because a new incarnation of this entry holds none. */
  startNewIncarnation(): void {
    this.#holdings.withdrawAll(this.#dependencies.getView().version);
  }

  /** Returns all permits that are not in use, and reports that to all members. */
  async stop(): Promise<void> {
    this.#holdings.stop();
    this.#stopped.abort();
    await Promise.all([...this.#tasks.values()].map(async (task) => task.sendReport()));
    this.#tasks.forEach((task) => task.stop());
  }

  /** Returns whether this entry has stopped and no permit is in use. */
  holdsNothing(): boolean {
    return this.#stopped.signal.aborted && !this.#holdings.hasInUse();
  }

  #release(team: string): void {
    if (this.#holdings.release(team)) {
      this.#notifyKeeper(team);
    } else {
      this.#listeners.forEach((listener) => listener(team));
    }
  }

  #getLimit(team: string): number | null {
    return this.#dependencies.getView().get(EntityKind.Team, team)?.limit ?? null;
  }

  #notifyKeeper(team: string): void {
    const keeper = this.#membership.getKeeper(team);
    if (keeper !== null) {
      this.#tasks.get(keeper)?.notify();
    }
  }

  #withdrawLoweredLimits(previous: FleetView, current: FleetView): void {
    previous.list(EntityKind.Team).forEach(({ id, limit }) => {
      if ((current.get(EntityKind.Team, id)?.limit ?? 0) < limit) {
        this.#holdings.withdraw(id, current.version);
        this.#notifyKeeper(id);
      }
    });
  }

  #applyMembership(membership: Membership, isContinuous: boolean): void {
    const removed = [...this.#membership.members.keys()].filter(
      (member) => !membership.members.has(member),
    );
    removed.forEach((member) => {
      this.#tasks.get(member)?.stop();
      this.#tasks.delete(member);
    });
    this.#membership = membership;
    this.#keeper.applyMembership(membership, isContinuous);
    membership.members.forEach((member, key) => {
      if (!this.#tasks.has(key)) {
        this.#startTask(member, key);
      }
    });
    this.#tasks.forEach((task) => task.notify());
  }

  #startTask(member: Member, key: string): void {
    const task = new PermitPeerTask({
      clock: this.#dependencies.clock,
      getMember: this.#dependencies.getMember,
      peer:
        key === this.#dependencies.getMember()
          ? new LocalPermitPeer(this.service)
          : this.#dependencies.createPeer(member),
      buildReport: (sequence) => this.#buildReport(key, sequence),
      onReply: (report, reply) => this.#handleReply(report, reply),
    });
    this.#tasks.set(key, task);
    void task.run();
  }

  #buildReport(keeper: string, sequence: number): PermitReport {
    const teams = this.#dependencies
      .getView()
      .list(EntityKind.Team)
      .map(({ id }) => id)
      .filter((team) => this.#membership.getKeeper(team) === keeper);
    return {
      member: this.#dependencies.getMember(),
      membership: this.#membership.digest,
      sequence,
      isLeaving: this.holdsNothing(),
      holdings: teams.map((team) => this.#holdings.buildHoldingReport(team)),
    };
  }

  #handleReply(report: PermitReport, reply: PermitReply): void {
    if (reply.kind !== 'loans' || report.membership !== this.#membership.digest) {
      return;
    }
    reply.loans.forEach((loan) => {
      if (this.#holdings.applyLoan(loan, reply.version)) {
        this.#listeners.forEach((listener) => listener(loan.team));
      }
      if (this.#holdings.getHeld(loan.team) < loan.held) {
        this.#notifyKeeper(loan.team);
      }
    });
  }
}
