/** What one entry could use of what a team is given. */
export type Claim = {
  readonly member: string;
  readonly needed: number;
};

/** Gives every claim the same amount, or less where less is needed, within the total. */
function buildEqualShares(total: number, claims: readonly Claim[]): Map<string, number> {
  const shares = new Map<string, number>();
  let left = total;
  claims
    .toSorted((a, b) => a.needed - b.needed)
    .forEach(({ member, needed }, index) => {
      const share = Math.min(needed, Math.floor(left / (claims.length - index)));
      shares.set(member, share);
      left -= share;
    });
  return shares;
}

/** Gives what is left one by one, beginning at a place that moves on with each turn. */
function addRemainder(
  shares: Map<string, number>,
  claims: readonly Claim[],
  total: number,
  turn: number,
): number {
  const unmet = claims.filter(({ member, needed }) => needed > (shares.get(member) ?? 0));
  const shared = [...shares.values()].reduce((sum, share) => sum + share, 0);
  const remainder = Math.min(total - shared, unmet.length);
  for (let index = 0; index < remainder; index += 1) {
    const { member } = unmet[(turn * remainder + index) % unmet.length] as Claim;
    shares.set(member, (shares.get(member) ?? 0) + 1);
  }
  return total - shared - remainder;
}

/**
 * Divides permits or slots of a team among entries: needs first, by max-min fairness, and what is left
 * evenly as a reserve.
 *
 * @param claims in the same order each time.
 * @param turn decides who gets what does not divide evenly.
 */
export function buildAllocation(
  total: number,
  claims: readonly Claim[],
  turn: number,
): ReadonlyMap<string, number> {
  const shares = buildEqualShares(total, claims);
  const spare = addRemainder(shares, claims, total, turn);
  claims.forEach(({ member }, index) => {
    const reserve = Math.floor((spare + index) / claims.length);
    shares.set(member, (shares.get(member) ?? 0) + reserve);
  });
  return shares;
}
