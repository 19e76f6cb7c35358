import type { SlotTarget, TeamShare } from './BaobabwellShares';
import type { TeamDemand } from './BaobabwellSharesDivision';
import type { TeamActivity } from '@baobabwell/scheduling';
import type { Clock } from '@baobabwell/utils';

import { buildAllocation } from '@baobabwell/scheduling';

import {
  CORRECTION_LIMIT,
  CORRECTION_MS,
  DIVISION_PACE_MS,
  DIVISION_TTL_MS,
  OVERCOMMIT,
} from './BaobabwellSharesConstants';
import { buildTeamDivision, buildWholeDivision } from './BaobabwellSharesDivision';

/** What the division of a pool is computed from. */
export type PoolOwnerParts = {
  readonly clock: Clock;
  /** Slots of the pool's hosts that take work. */
  readonly getSlots: () => number;
  readonly getShare: (team: string) => TeamShare;
  /** Upper limit of a team across the fleet. */
  readonly getLimit: (team: string) => number;
};

type EntryActivity = {
  readonly at: number;
  readonly teams: ReadonlyMap<string, TeamActivity>;
};

/** Divides one pool among teams and entries, by what all entries report. */
export class PoolOwner {
  readonly #parts: PoolOwnerParts;

  readonly #entries = new Map<string, EntryActivity>();

  /** Slot milliseconds that each team was short of its share, or above it. */
  readonly #deficits = new Map<string, number>();

  #targets: ReadonlyMap<string, ReadonlyMap<string, number>> | null = null;

  #dividedAt = Number.NEGATIVE_INFINITY;

  constructor(parts: PoolOwnerParts) {
    this.#parts = parts;
  }

  /** Takes an entry's activity and answers its targets, or `null` when there is room for all. */
  handleActivity(entry: string, teams: readonly TeamActivity[]): readonly SlotTarget[] | null {
    const now = this.#parts.clock.getNow();
    this.#entries.set(entry, { at: now, teams: new Map(teams.map((one) => [one.team, one])) });
    if (now - this.#dividedAt >= DIVISION_PACE_MS) {
      this.#divide(now);
    }
    if (this.#targets === null) {
      return null;
    }
    return [...this.#targets].map(([team, slots]) => ({ team, slots: slots.get(entry) ?? 0 }));
  }

  #divide(now: number): void {
    this.#entries.forEach(({ at }, entry) => {
      if (now - at > DIVISION_TTL_MS) {
        this.#entries.delete(entry);
      }
    });
    const slots = this.#parts.getSlots();
    const demands = this.#listDemands();
    const demand = demands.reduce((sum, one) => sum + one.demand, 0);
    const elapsedMs = Math.min(now - this.#dividedAt, DIVISION_TTL_MS);
    this.#dividedAt = now;
    if (demand <= slots) {
      this.#deficits.clear();
      this.#targets = null;
      return;
    }
    const ideal = buildTeamDivision(slots, demands);
    this.#recordDeficits(ideal, demands, elapsedMs);
    // A little more than there is: an entry whose calls ended leaves no slot empty meanwhile.
    this.#targets = this.#buildTargets(Math.ceil(slots * OVERCOMMIT), ideal, now);
  }

  #listDemands(): readonly TeamDemand[] {
    const demands = new Map<string, number>();
    this.#entries.forEach(({ teams }) =>
      teams.forEach(({ team, running, waiting }) => {
        demands.set(team, (demands.get(team) ?? 0) + running + waiting);
      }),
    );
    return [...demands].map(([team, demand]) => ({
      team,
      demand: Math.min(demand, this.#parts.getLimit(team)),
      ...this.#parts.getShare(team),
    }));
  }

  /** Idle teams earn no credit: only what a team wanted and did not get counts. */
  #recordDeficits(
    ideal: ReadonlyMap<string, number>,
    demands: readonly TeamDemand[],
    elapsedMs: number,
  ): void {
    const teams = new Set(demands.map(({ team }) => team));
    this.#deficits.forEach((_, team) => {
      if (!teams.has(team)) {
        this.#deficits.delete(team);
      }
    });
    ideal.forEach((amount, team) => {
      const running = this.#getRunning(team);
      const limitMs = amount * CORRECTION_LIMIT * CORRECTION_MS;
      const deficit = (this.#deficits.get(team) ?? 0) + (amount - running) * elapsedMs;
      this.#deficits.set(team, Math.max(-limitMs, Math.min(limitMs, deficit)));
    });
  }

  #buildTargets(
    slots: number,
    ideal: ReadonlyMap<string, number>,
    now: number,
  ): ReadonlyMap<string, ReadonlyMap<string, number>> {
    const corrected = new Map(
      [...ideal].map(([team, amount]) => [
        team,
        Math.max(0, amount + (this.#deficits.get(team) ?? 0) / CORRECTION_MS),
      ]),
    );
    const sum = [...corrected.values()].reduce((total, amount) => total + amount, 0);
    corrected.forEach((amount, team) => corrected.set(team, (amount * slots) / sum));
    const turn = Math.floor(now / DIVISION_TTL_MS);
    return new Map(
      [...buildWholeDivision(slots, corrected)].map(([team, amount]) => [
        team,
        buildAllocation(amount, this.#listClaims(team), turn),
      ]),
    );
  }

  #listClaims(team: string): readonly { readonly member: string; readonly needed: number }[] {
    return [...this.#entries]
      .map(([member, { teams }]) => ({ member, activity: teams.get(team) }))
      .map(({ member, activity }) => ({
        member,
        needed: (activity?.running ?? 0) + (activity?.waiting ?? 0),
      }))
      .toSorted((a, b) => (a.member < b.member ? -1 : 1));
  }

  #getRunning(team: string): number {
    return [...this.#entries.values()].reduce(
      (sum, { teams }) => sum + (teams.get(team)?.running ?? 0),
      0,
    );
  }
}
