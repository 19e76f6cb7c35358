/**
 * Load pattern: one organisation sends several times its usual load and the pool is full. Each
 * organisation then has a share of the pool by its weight; what some do not use of theirs is lent to
 * the others.
 */
import type { OrganisationDemand } from './BaobabwellFairnessModel';
import type { Resources } from '@baobabwell/jobs';

const DIMENSIONS = ['cpuMillis', 'memoryMb', 'gpus'] as const;

/** Returns the largest of the shares of a capacity that the resources take in each dimension. */
export function getDominantShare(resources: Resources, capacity: Resources): number {
  return Math.max(
    ...DIMENSIONS.map((dimension) =>
      resources[dimension] > 0 ? resources[dimension] / capacity[dimension] : 0,
    ),
  );
}

/**
 * Computes the dominant share per unit of weight up to which every organisation is served before any is
 * served beyond it; `Infinity` if the capacity meets all demands.
 */
export function computeShareLevel(
  demands: readonly OrganisationDemand[],
  capacity: Resources,
): number {
  const shares = demands
    .map(({ weight, demand }) => ({
      weight,
      demand,
      dominantShare: getDominantShare(demand, capacity),
    }))
    .filter(({ dominantShare }) => dominantShare > 0)
    .map((share) => ({ ...share, metAtLevel: share.dominantShare / share.weight }))
    .toSorted((left, right) => left.metAtLevel - right.metAtLevel);
  const levels = DIMENSIONS.map((dimension) => {
    const available = capacity[dimension];
    // Demand of the organisations that are met, and demand that one level adds for the others.
    let met = 0;
    let slope = shares.reduce(
      (sum, { weight, demand, dominantShare }) =>
        sum + (weight * demand[dimension]) / dominantShare,
      0,
    );
    for (const { weight, demand, dominantShare, metAtLevel } of shares) {
      if (met + slope * metAtLevel > available) {
        return Math.max(0, available - met) / slope;
      }
      met += demand[dimension];
      slope -= (weight * demand[dimension]) / dominantShare;
    }
    return Infinity;
  });
  return Math.min(...levels);
}
