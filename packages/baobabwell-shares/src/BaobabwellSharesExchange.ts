import type { PoolActivity, PoolDivision } from './BaobabwellShares';
import type { SharePeer } from './BaobabwellSharesPeers';
import type { PoolOwner } from './BaobabwellSharesPoolOwner';
import type { Member } from '@baobabwell/model';
import type { Clock } from '@baobabwell/utils';

import { findRendezvousOwner, SlotShares } from '@baobabwell/scheduling';

import { ACTIVITY_INTERVAL_MS, DIVISION_TTL_MS } from './BaobabwellSharesConstants';

/** What the exchange works with. */
export type ShareExchangeParts = {
  readonly clock: Clock;
  /** Identifier of this entry. */
  readonly entry: string;
  readonly listMembers: () => readonly Member[];
  readonly listActivity: () => readonly PoolActivity[];
  readonly createPeer: (address: string) => SharePeer;
  readonly createOwner: (pool: string) => PoolOwner;
  /** Called when slots may be used that could not before. */
  readonly onChange: () => void;
};

type KnownDivision = {
  readonly at: number;
  readonly targets: ReadonlyMap<string, number> | null;
};

/** Reports to one member for as long as it is one. */
class ShareTask {
  readonly stopped = new AbortController();

  readonly member: Member;

  constructor(member: Member) {
    this.member = member;
  }
}

/** Keeps every entry's use of full pools to the division by the pool's owner. */
export class ShareExchange extends SlotShares {
  readonly #parts: ShareExchangeParts;

  readonly #owners = new Map<string, PoolOwner>();

  readonly #divisions = new Map<string, KnownDivision>();

  readonly #tasks = new Map<string, ShareTask>();

  #isStopped = false;

  constructor(parts: ShareExchangeParts) {
    super();
    this.#parts = parts;
  }

  override getTarget(pool: string, team: string): number {
    const targets = this.#findTargets(pool);
    return targets === null ? Number.POSITIVE_INFINITY : (targets.get(team) ?? 0);
  }

  override isContended(pool: string): boolean {
    return this.#findTargets(pool) !== null;
  }

  /** Answers the activity of an entry, which may be this one. */
  handleActivity(entry: string, pools: readonly PoolActivity[]): readonly PoolDivision[] {
    return pools.map(({ pool, teams }) => ({
      pool,
      targets: this.#getOwner(pool).handleActivity(entry, teams),
    }));
  }

  /** Follows the members of the view. */
  update(): void {
    const members = new Map(this.#parts.listMembers().map((member) => [member.id, member]));
    this.#tasks.forEach((task, id) => {
      if (members.get(id)?.incarnation !== task.member.incarnation) {
        task.stopped.abort();
        this.#tasks.delete(id);
      }
    });
    members.forEach((member, id) => {
      if (!this.#tasks.has(id) && !this.#isStopped) {
        const task = new ShareTask(member);
        this.#tasks.set(id, task);
        void this.#run(task);
      }
    });
  }

  /** Ends all reports. */
  stop(): void {
    this.#isStopped = true;
    this.#tasks.forEach((task) => task.stopped.abort());
  }

  #findTargets(pool: string): ReadonlyMap<string, number> | null {
    const division = this.#divisions.get(pool);
    const isBelieved =
      division !== undefined && this.#parts.clock.getNow() - division.at <= DIVISION_TTL_MS;
    return isBelieved ? division.targets : null;
  }

  async #run({ member, stopped }: ShareTask): Promise<void> {
    const { clock, entry, createPeer } = this.#parts;
    const peer = createPeer(member.peerAddress);
    while (!stopped.signal.aborted) {
      const pools = this.#listOwnedBy(member.id);
      if (pools.length > 0) {
        try {
          this.#apply(
            member.id === entry
              ? this.handleActivity(entry, pools)
              : await peer.report(entry, pools),
          );
        } catch {
          // Without an answer this entry orders its calls by itself once the division expires.
        }
      }
      await clock.wait(ACTIVITY_INTERVAL_MS, stopped.signal);
    }
  }

  #listOwnedBy(id: string): readonly PoolActivity[] {
    const members = [...this.#tasks.keys()];
    return this.#parts
      .listActivity()
      .filter(({ pool, teams }) => teams.length > 0 && findRendezvousOwner(pool, members) === id);
  }

  #apply(divisions: readonly PoolDivision[]): void {
    const at = this.#parts.clock.getNow();
    divisions.forEach(({ pool, targets }) => {
      const known =
        targets === null ? null : new Map(targets.map(({ team, slots }) => [team, slots]));
      this.#divisions.set(pool, { at, targets: known });
    });
    this.#parts.onChange();
  }

  #getOwner(pool: string): PoolOwner {
    const known = this.#owners.get(pool);
    const owner = known ?? this.#parts.createOwner(pool);
    this.#owners.set(pool, owner);
    return owner;
  }
}
