/** Interval between reports of activity to the owner of a pool. */
export const ACTIVITY_INTERVAL_MS = 50;

/** Time after which reported activity or a received division expires. */
export const DIVISION_TTL_MS = 1_000;

/** Minimum time between two divisions of one pool. */
export const MIN_DIVISION_INTERVAL_MS = 20;

/** Time over which a team's shortfall below its share is compensated. */
export const CORRECTION_PERIOD_MS = 2_000;

/** Maximum correction of a team's slots, as a fraction of its share. */
export const MAX_CORRECTION_FRACTION = 0.5;

/** Number of slots that are divided, as a multiple of the existing ones. */
export const OVERCOMMIT_FACTOR = 1.05;
