import type { TeamShare } from './BaobabwellShares';

/** A team or organisation among which an amount is divided. */
export type DivisionParty = {
  readonly id: string;
  readonly weight: number;
  /** Maximum amount that the party can use. */
  readonly demand: number;
};

/** Share and demand of a team in the division of a pool. */
export type TeamDemand = TeamShare & {
  readonly team: string;
  readonly demand: number;
};

/**
 * Divides an amount by weight; what a party does not need is divided among the others by weight.
 */
export function buildWeightedDivision(
  total: number,
  parties: readonly DivisionParty[],
): ReadonlyMap<string, number> {
  const division = new Map<string, number>();
  let left = total;
  let weights = parties.reduce((sum, { weight }) => sum + weight, 0);
  parties
    .toSorted((a, b) => a.demand / a.weight - b.demand / b.weight)
    .forEach(({ id, weight, demand }) => {
      const amount = Math.min(demand, (left * weight) / weights);
      division.set(id, amount);
      left -= amount;
      weights -= weight;
    });
  return division;
}

/** Divides slots among organisations first, then within each organisation among its teams. */
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
  buildWeightedDivision(slots, organisations).forEach((slotsOfOrganisation, id) => {
    const parties = (byOrganisation.get(id) ?? []).map(({ team, share, demand }) => ({
      id: team,
      weight: share,
      demand,
    }));
    buildWeightedDivision(slotsOfOrganisation, parties).forEach((amount, team) =>
      division.set(team, amount),
    );
  });
  return division;
}

/** Rounds amounts to integers by the largest remainder method, so that their sum is preserved. */
export function buildIntegerDivision(
  total: number,
  amounts: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
  const rounded = new Map([...amounts].map(([id, amount]) => [id, Math.floor(amount)]));
  const allocated = [...rounded.values()].reduce((sum, amount) => sum + amount, 0);
  const roundedTotal = Math.round([...amounts.values()].reduce((sum, amount) => sum + amount, 0));
  [...amounts]
    .toSorted(([, a], [, b]) => b - Math.floor(b) - (a - Math.floor(a)))
    .slice(0, Math.max(0, Math.min(total, roundedTotal) - allocated))
    .forEach(([id]) => rounded.set(id, (rounded.get(id) ?? 0) + 1));
  return rounded;
}
