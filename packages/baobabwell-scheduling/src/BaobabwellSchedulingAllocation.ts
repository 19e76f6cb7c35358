/** Amount that one entry could use of a team's permits or slots. */
export type AllocationClaim = {
  readonly member: string;
  readonly needed: number;
};

/** Computes max-min fair shares: each claim gets the same amount, or less if it needs less. */
function buildEqualShares(total: number, claims: readonly AllocationClaim[]): Map<string, number> {
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

/**
 * Assigns the remainder in single units, starting at a claim that advances with `rotation`; returns
 * the amount that no claim needs.
 */
function addRemainder(
  shares: Map<string, number>,
  claims: readonly AllocationClaim[],
  total: number,
  rotation: number,
): number {
  const unmet = claims.filter(({ member, needed }) => needed > (shares.get(member) ?? 0));
  const allocated = [...shares.values()].reduce((sum, share) => sum + share, 0);
  const remainder = Math.min(total - allocated, unmet.length);
  for (let index = 0; index < remainder; index += 1) {
    const { member } = unmet[(rotation * remainder + index) % unmet.length] as AllocationClaim;
    shares.set(member, (shares.get(member) ?? 0) + 1);
  }
  return total - allocated - remainder;
}

/**
 * Divides permits or slots of a team among entries: first what they need, by max-min fairness, then
 * the rest evenly as a reserve.
 *
 * @param claims in the same order in every call.
 * @param rotation selects the claims that get the units that do not divide evenly.
 */
export function buildAllocation(
  total: number,
  claims: readonly AllocationClaim[],
  rotation: number,
): ReadonlyMap<string, number> {
  const shares = buildEqualShares(total, claims);
  const spare = addRemainder(shares, claims, total, rotation);
  claims.forEach(({ member }, index) => {
    const reserve = Math.floor((spare + index) / claims.length);
    shares.set(member, (shares.get(member) ?? 0) + reserve);
  });
  return shares;
}
