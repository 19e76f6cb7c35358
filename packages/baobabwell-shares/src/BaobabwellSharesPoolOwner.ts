import type { SlotTarget, TeamShare } from './BaobabwellShares';
import type { TeamDemand } from './BaobabwellSharesDivision';
import type { TeamActivity } from '@baobabwell/scheduling';
import type { Clock } from '@baobabwell/utils';

import { buildAllocation } from '@baobabwell/scheduling';

import {
  CORRECTION_PERIOD_MS,
  DIVISION_TTL_MS,
  MAX_CORRECTION_FRACTION,
  MIN_DIVISION_INTERVAL_MS,
  OVERCOMMIT_FACTOR,
} from './BaobabwellSharesConstants';
import { buildIntegerDivision, buildTeamDivision } from './BaobabwellSharesDivision';

/** Dependencies of {@link PoolOwner}. */
export type PoolOwnerDependencies = {
  readonly clock: Clock;
  /** Returns the number of slots on hosts of the pool that accept work. */
  readonly getSlots: () => number;
  readonly getShare: (team: string) => TeamShare;
  /** Returns the upper limit of a team across the fleet. */
  readonly getLimit: (team: string) => number;
};

type EntryActivity = {
  readonly at: number;
  readonly teams: ReadonlyMap<string, TeamActivity>;
};

/** Divides the slots of one pool among teams and entries, by the activity that entries report. */
export class PoolOwner {
  readonly #dependencies: PoolOwnerDependencies;

  readonly #entries = new Map<string, EntryActivity>();

  /** Slot milliseconds by which each team is below its share; negative if above. */
  readonly #deficitSlotMs = new Map<string, number>();

  #targets: ReadonlyMap<string, ReadonlyMap<string, number>> | null = null;

  #dividedAt = Number.NEGATIVE_INFINITY;

  constructor(dependencies: PoolOwnerDependencies) {
    this.#dependencies = dependencies;
  }

  /**
   * Records an entry's activity and returns its targets, or `null` while the pool is not contended.
   */
  handleActivity(entry: string, teams: readonly TeamActivity[]): readonly SlotTarget[] | null {
    const now = this.#dependencies.clock.getNow();
    this.#entries.set(entry, { at: now, teams: new Map(teams.map((one) => [one.team, one])) });
    if (now - this.#dividedAt >= MIN_DIVISION_INTERVAL_MS) {
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
    const slots = this.#dependencies.getSlots();
    const demands = this.#listDemands();
    const demand = demands.reduce((sum, one) => sum + one.demand, 0);
    const elapsedMs = Math.min(now - this.#dividedAt, DIVISION_TTL_MS);
    this.#dividedAt = now;
    if (demand <= slots) {
      this.#deficitSlotMs.clear();
      this.#targets = null;
      return;
    }
    const ideal = buildTeamDivision(slots, demands);
    this.#recordDeficits(ideal, demands, elapsedMs);
    // Overcommits slightly, so that no slot stays idle between the end of an entry's calls and the
    // next division.
    this.#targets = this.#buildTargets(Math.ceil(slots * OVERCOMMIT_FACTOR), ideal, now);
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
      demand: Math.min(demand, this.#dependencies.getLimit(team)),
      ...this.#dependencies.getShare(team),
    }));
  }

  /**
   * Updates the deficits of teams with demand. Idle teams earn no credit: only slots that a team
   * requested and did not get count.
   */
  #recordDeficits(
    ideal: ReadonlyMap<string, number>,
    demands: readonly TeamDemand[],
    elapsedMs: number,
  ): void {
    const teams = new Set(demands.map(({ team }) => team));
    this.#deficitSlotMs.forEach((_, team) => {
      if (!teams.has(team)) {
        this.#deficitSlotMs.delete(team);
      }
    });
    ideal.forEach((amount, team) => {
      const running = this.#getRunning(team);
      const limitMs = amount * MAX_CORRECTION_FRACTION * CORRECTION_PERIOD_MS;
      const deficit = (this.#deficitSlotMs.get(team) ?? 0) + (amount - running) * elapsedMs;
      this.#deficitSlotMs.set(team, Math.max(-limitMs, Math.min(limitMs, deficit)));
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
        Math.max(0, amount + (this.#deficitSlotMs.get(team) ?? 0) / CORRECTION_PERIOD_MS),
      ]),
    );
    const sum = [...corrected.values()].reduce((total, amount) => total + amount, 0);
    corrected.forEach((amount, team) => corrected.set(team, (amount * slots) / sum));
    const rotation = Math.floor(now / DIVISION_TTL_MS);
    return new Map(
      [...buildIntegerDivision(slots, corrected)].map(([team, amount]) => [
        team,
        buildAllocation(amount, this.#listClaims(team), rotation),
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
