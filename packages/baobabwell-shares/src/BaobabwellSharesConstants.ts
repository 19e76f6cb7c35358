/** Time between two reports of activity to the owner of a pool. */
export const ACTIVITY_INTERVAL_MS = 50;

/** Time after which activity or a division is no longer believed. */
export const DIVISION_TTL_MS = 1_000;

/** Shortest time between two divisions of one pool. */
export const DIVISION_PACE_MS = 20;

/** Time in which a team gets back what it fell short of its share. */
export const CORRECTION_MS = 2_000;

/** Most slots by which a team is corrected at once, as a part of its share. */
export const CORRECTION_LIMIT = 0.5;

/** Slots that are divided, as a multiple of those that exist. */
export const OVERCOMMIT = 1.05;
