import type { PoolActivity, PoolDivision } from './BaobabwellShares';
import type { SharePeer } from './BaobabwellSharesPeers';
import type { PoolOwner } from './BaobabwellSharesPoolOwner';
import type { Member } from '@baobabwell/model';
import type { Clock } from '@baobabwell/utils';

import { findRendezvousOwner, SlotShares } from '@baobabwell/scheduling';

import { ACTIVITY_INTERVAL_MS, DIVISION_TTL_MS } from './BaobabwellSharesConstants';

/** Dependencies of {@link ShareExchange}. */
export type ShareExchangeDependencies = {
  readonly clock: Clock;
  /** Identifier of this entry. */
  readonly entry: string;
  readonly listMembers: () => readonly Member[];
  readonly listActivity: () => readonly PoolActivity[];
  readonly createPeer: (address: string) => SharePeer;
  readonly createOwner: (pool: string) => PoolOwner;
  /** Called when more slots may have become usable. */
  readonly onChange: () => void;
};

type CachedDivision = {
  readonly at: number;
  readonly targets: ReadonlyMap<string, number> | null;
};

/** Periodic reports to one member until it leaves or restarts. */
class MemberReportTask {
  readonly stopped = new AbortController();

  readonly member: Member;

  constructor(member: Member) {
    this.member = member;
  }
}

/**
 * Limits the slots that teams use at this entry in contended pools to the division by the pool's
 * owner, and divides the pools that this entry owns.
 */
export class ShareExchange extends SlotShares {
  readonly #dependencies: ShareExchangeDependencies;

  readonly #owners = new Map<string, PoolOwner>();

  readonly #divisions = new Map<string, CachedDivision>();

  readonly #reportTasks = new Map<string, MemberReportTask>();

  #isStopped = false;

  constructor(dependencies: ShareExchangeDependencies) {
    super();
    this.#dependencies = dependencies;
  }

  override getTarget(pool: string, team: string): number {
    const targets = this.#findTargets(pool);
    return targets === null ? Number.POSITIVE_INFINITY : (targets.get(team) ?? 0);
  }

  override isContended(pool: string): boolean {
    return this.#findTargets(pool) !== null;
  }

  /**
   * Handles the activity of an entry, which may be this one, and returns the division of each pool.
   */
  handleActivity(entry: string, pools: readonly PoolActivity[]): readonly PoolDivision[] {
    return pools.map(({ pool, teams }) => ({
      pool,
      targets: this.#getOwner(pool).handleActivity(entry, teams),
    }));
  }

  /** Starts and stops reports to match the members of the view. */
  updateMembers(): void {
    const members = new Map(this.#dependencies.listMembers().map((member) => [member.id, member]));
    this.#reportTasks.forEach((task, id) => {
      if (members.get(id)?.incarnation !== task.member.incarnation) {
        task.stopped.abort();
        this.#reportTasks.delete(id);
      }
    });
    members.forEach((member, id) => {
      if (!this.#reportTasks.has(id) && !this.#isStopped) {
        const task = new MemberReportTask(member);
        this.#reportTasks.set(id, task);
        void this.#runReports(task);
      }
    });
  }

  /** Stops all reports. */
  stop(): void {
    this.#isStopped = true;
    this.#reportTasks.forEach((task) => task.stopped.abort());
  }

  #findTargets(pool: string): ReadonlyMap<string, number> | null {
    const division = this.#divisions.get(pool);
    const isFresh =
      division !== undefined && this.#dependencies.clock.getNow() - division.at <= DIVISION_TTL_MS;
    return isFresh ? division.targets : null;
  }

  async #runReports({ member, stopped }: MemberReportTask): Promise<void> {
    const { clock, entry, createPeer } = this.#dependencies;
    const peer = createPeer(member.peerAddress);
    while (!stopped.signal.aborted) {
      const pools = this.#listActivityOwnedBy(member.id);
      if (pools.length > 0) {
        try {
          this.#applyDivisions(
            member.id === entry
              ? this.handleActivity(entry, pools)
              : await peer.report(entry, pools),
          );
        } catch {
          // Without a reply, this entry orders its calls by itself once the division expires.
        }
      }
      await clock.wait(ACTIVITY_INTERVAL_MS, stopped.signal);
    }
  }

  #listActivityOwnedBy(id: string): readonly PoolActivity[] {
    const members = [...this.#reportTasks.keys()];
    return this.#dependencies
      .listActivity()
      .filter(({ pool, teams }) => teams.length > 0 && findRendezvousOwner(pool, members) === id);
  }

  #applyDivisions(divisions: readonly PoolDivision[]): void {
    const at = this.#dependencies.clock.getNow();
    divisions.forEach(({ pool, targets }) => {
      const slotsByTeam =
        targets === null ? null : new Map(targets.map(({ team, slots }) => [team, slots]));
      this.#divisions.set(pool, { at, targets: slotsByTeam });
    });
    this.#dependencies.onChange();
  }

  #getOwner(pool: string): PoolOwner {
    const existing = this.#owners.get(pool);
    const owner = existing ?? this.#dependencies.createOwner(pool);
    this.#owners.set(pool, owner);
    return owner;
  }
}
