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
  FIRST_LOANS_MS,
  FIRST_REPORT_INTERVAL_MS,
  REBALANCE_INTERVAL_MS,
} from './BaobabwellPermitsConstants';
import { PermitHoldings } from './BaobabwellPermitsHoldings';
import { PermitKeeper } from './BaobabwellPermitsKeeper';
import { Membership } from './BaobabwellPermitsMembership';
import { LocalPermitPeer } from './BaobabwellPermitsPeers';
import { PermitPeerTask } from './BaobabwellPermitsPeerTask';

/** What the pool works with. */
export type KeeperPermitPoolParts = {
  readonly clock: Clock;
  /** Key of this entry's own life. */
  readonly getMember: () => string;
  readonly fences: FenceClock;
  readonly getView: () => FleetView;
  readonly isCurrent: () => boolean;
  /** Reaches another member. */
  readonly createPeer: (member: Member) => PermitPeer;
};

/** Borrows permits from each team's keeper, and lends those of the teams kept here. */
export class KeeperPermitPool extends PermitPool {
  /** What this entry offers to its peers. */
  readonly service: PermitPeerService;

  readonly #parts: KeeperPermitPoolParts;

  readonly #holdings: PermitHoldings;

  readonly #keeper: PermitKeeper;

  readonly #tasks = new Map<string, PermitPeerTask>();

  readonly #listeners = new Set<(team: string) => void>();

  readonly #stopped = new AbortController();

  #membership = Membership.EMPTY;

  constructor(parts: KeeperPermitPoolParts) {
    super();
    this.#parts = parts;
    this.#holdings = new PermitHoldings(parts.clock);
    this.#keeper = new PermitKeeper({
      ...parts,
      getVersion: () => parts.getView().version,
      getLimit: (team) => this.#getLimit(team),
      onNudge: (member) => {
        void this.#tasks.get(member)?.nudge();
      },
    });
    this.service = {
      handleReport: (report) => this.#keeper.handleReport(report),
      handleNudge: (keeper) => this.#tasks.get(keeper)?.update(),
    };
  }

  override acquire(team: string): Permit | null {
    if (this.#getLimit(team) === null) {
      return { team, release: () => {} };
    }
    if (!this.#membership.members.has(this.#parts.getMember()) || !this.#holdings.acquire(team)) {
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
    return this.#getLimit(team) === null ? Number.POSITIVE_INFINITY : this.#holdings.getIdle(team);
  }

  override addWaiting(team: string, count: number): void {
    if (this.#getLimit(team) !== null) {
      this.#holdings.addWaiting(team, count);
      if (this.#holdings.hasUntoldNeed(team)) {
        this.#updateKeeper(team);
      }
    }
  }

  override listUsage(): readonly PermitUsage[] {
    return this.#holdings.listUse();
  }

  override registerListener(listener: (team: string) => void): Undo {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  /** Permits that this entry accounts for. */
  getHeld(team: string): number {
    return this.#holdings.getHeld(team);
  }

  /** Goes over to the next view. */
  update({ previous, current, change, isSnapshot }: ViewUpdate): void {
    const isContinuous = !isSnapshot;
    const kinds = new Set(change.mutations.map(({ kind }) => kind));
    if (!isContinuous || kinds.has(EntityKind.Team)) {
      this.#withdrawLowered(previous, current);
    }
    if (!isContinuous || kinds.has(EntityKind.Member)) {
      this.#applyMembership(Membership.create(current), isContinuous);
    }
  }

  /** Begins to borrow and lend, and goes on until stopped. */
  async run(): Promise<void> {
    const { clock, getView } = this.#parts;
    this.#applyMembership(Membership.create(getView()), false);
    while (!this.#stopped.signal.aborted) {
      this.#keeper.rebalance();
      if (this.#holdings.returnIdle()) {
        this.#tasks.forEach((task) => task.update());
      }
      await clock.wait(REBALANCE_INTERVAL_MS, this.#stopped.signal);
    }
  }

  /** Waits until this entry holds its part of every team's permits, for a bounded time. */
  async waitForReserve(): Promise<void> {
    const { clock, getView } = this.#parts;
    const until = clock.getNow() + FIRST_LOANS_MS;
    const hasReserve = (): boolean =>
      getView()
        .list(EntityKind.Team)
        .every(({ id }) => this.#holdings.hasReserve(id));
    while (!hasReserve() && clock.getNow() < until && !this.#stopped.signal.aborted) {
      this.#tasks.forEach((task) => task.update());
      await clock.wait(FIRST_REPORT_INTERVAL_MS);
    }
  }

  /** Holds nothing any more, as a new life of this entry. */
  startNewLife(): void {
    this.#holdings.withdrawAll(this.#parts.getView().version);
  }

  /** Gives everything back and tells all members so. */
  async stop(): Promise<void> {
    this.#holdings.stop();
    this.#stopped.abort();
    await Promise.all([...this.#tasks.values()].map(async (task) => task.send()));
    this.#tasks.forEach((task) => task.stop());
  }

  /** True once this entry takes no permits any more and none is in use. */
  holdsNothing(): boolean {
    return this.#stopped.signal.aborted && !this.#holdings.hasInUse();
  }

  #release(team: string): void {
    if (this.#holdings.release(team)) {
      this.#updateKeeper(team);
    } else {
      this.#listeners.forEach((listener) => listener(team));
    }
  }

  #getLimit(team: string): number | null {
    return this.#parts.getView().get(EntityKind.Team, team)?.limit ?? null;
  }

  #updateKeeper(team: string): void {
    const keeper = this.#membership.getKeeper(team);
    if (keeper !== null) {
      this.#tasks.get(keeper)?.update();
    }
  }

  #withdrawLowered(previous: FleetView, current: FleetView): void {
    previous.list(EntityKind.Team).forEach(({ id, limit }) => {
      if ((current.get(EntityKind.Team, id)?.limit ?? 0) < limit) {
        this.#holdings.withdraw(id, current.version);
        this.#updateKeeper(id);
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
    this.#tasks.forEach((task) => task.update());
  }

  #startTask(member: Member, key: string): void {
    const task = new PermitPeerTask({
      clock: this.#parts.clock,
      getMember: this.#parts.getMember,
      peer:
        key === this.#parts.getMember()
          ? new LocalPermitPeer(this.service)
          : this.#parts.createPeer(member),
      buildReport: (sequence) => this.#buildReport(key, sequence),
      onReply: (report, reply) => this.#handleReply(report, reply),
    });
    this.#tasks.set(key, task);
    void task.run();
  }

  #buildReport(keeper: string, sequence: number): PermitReport {
    const teams = this.#parts
      .getView()
      .list(EntityKind.Team)
      .map(({ id }) => id)
      .filter((team) => this.#membership.getKeeper(team) === keeper);
    return {
      member: this.#parts.getMember(),
      membership: this.#membership.digest,
      sequence,
      isLeaving: this.holdsNothing(),
      holdings: teams.map((team) => this.#holdings.report(team)),
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
        this.#updateKeeper(loan.team);
      }
    });
  }
}
