import type { FleetView, Member } from '@baobabwell/model';

import { createHash } from 'node:crypto';

import { EntityKind } from '@baobabwell/model';
import { findRendezvousOwner } from '@baobabwell/scheduling';

/** Returns the key of one incarnation of an entry. */
export function getMemberKey({ id, incarnation }: Pick<Member, 'id' | 'incarnation'>): string {
  return `${id}.${incarnation}`;
}

/** Members of one view. Entries whose digests are equal choose the same keepers. */
export class Membership {
  static readonly EMPTY = new Membership([]);

  readonly digest: string;

  /** Members by their keys. */
  readonly members: ReadonlyMap<string, Member>;

  readonly #keyById: ReadonlyMap<string, string>;

  readonly #keepers = new Map<string, string | null>();

  constructor(members: readonly Member[]) {
    this.members = new Map(members.map((member) => [getMemberKey(member), member]));
    this.#keyById = new Map(members.map((member) => [member.id, getMemberKey(member)]));
    this.digest = createHash('sha256')
      .update([...this.members.keys()].toSorted().join('\n'))
      .digest('hex');
  }

  /** Creates the membership of a view. */
  static create(view: FleetView): Membership {
    return new Membership(view.list(EntityKind.Member));
  }

  /** Returns the key of the member that lends a team's permits, or `null` without members. */
  getKeeper(team: string): string | null {
    const cached = this.#keepers.get(team);
    if (cached !== undefined) {
      return cached;
    }
    const owner = findRendezvousOwner(team, [...this.#keyById.keys()]);
    const keeper = owner === null ? null : (this.#keyById.get(owner) ?? null);
    this.#keepers.set(team, keeper);
    return keeper;
  }
}
