import type { TeamShare } from './BaobabwellShares';

/** One party of a division. */
export type Party = {
  readonly id: string;
  readonly weight: number;
  /** Most that the party can use. */
  readonly demand: number;
};

/** A team that takes part in the division of a pool. */
export type TeamDemand = TeamShare & {
  readonly team: string;
  readonly demand: number;
};

/**
 * Divides an amount by weight; what a party does not need goes to the others by their weights.
 */
export function buildWeightedDivision(
  total: number,
  parties: readonly Party[],
): ReadonlyMap<string, number> {
  const division = new Map<string, number>();
  let left = total;
  let weights = parties.reduce((sum, { weight }) => sum + weight, 0);
  parties
    .toSorted((a, b) => a.demand / a.weight - b.demand / b.weight)
    .forEach(({ id, weight, demand }) => {
      const part = Math.min(demand, (left * weight) / weights);
      division.set(id, part);
      left -= part;
      weights -= weight;
    });
  return division;
}

/** Divides slots among organisations first, and within each among its teams. */
export function buildTeamDivision(
  slots: number,
  teams: readonly TeamDemand[],
): ReadonlyMap<string, number> {
  const byOrganisation = new Map<string, TeamDemand[]>();
  teams.forEach((team) => {
    const others = byOrganisation.get(team.organisation) ?? [];
    byOrganisation.set(team.organisation, [...others, team]);
  });
  const organisations = [...byOrganisation.entries()].map(([id, members]) => ({
    id,
    weight: members[0]?.organisationShare ?? 1,
    demand: members.reduce((sum, { demand }) => sum + demand, 0),
  }));
  const division = new Map<string, number>();
  buildWeightedDivision(slots, organisations).forEach((part, id) => {
    const parties = (byOrganisation.get(id) ?? []).map(({ team, share, demand }) => ({
      id: team,
      weight: share,
      demand,
    }));
    buildWeightedDivision(part, parties).forEach((amount, team) => division.set(team, amount));
  });
  return division;
}

/** Rounds amounts to whole numbers of the same sum, by the largest remainders. */
export function buildWholeDivision(
  total: number,
  amounts: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
  const whole = new Map([...amounts].map(([id, amount]) => [id, Math.floor(amount)]));
  const given = [...whole.values()].reduce((sum, amount) => sum + amount, 0);
  const wanted = Math.round([...amounts.values()].reduce((sum, amount) => sum + amount, 0));
  [...amounts]
    .toSorted(([, a], [, b]) => b - Math.floor(b) - (a - Math.floor(a)))
    .slice(0, Math.max(0, Math.min(total, wanted) - given))
    .forEach(([id]) => whole.set(id, (whole.get(id) ?? 0) + 1));
  return whole;
}
