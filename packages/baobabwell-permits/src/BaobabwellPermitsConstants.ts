/** Time after its start in which an entry fetches its first permits. */
export const FIRST_LOANS_MS = 1_000;

/** Time between two reports to a keeper in that time. */
export const FIRST_REPORT_INTERVAL_MS = 25;

/** Time between two reports to a keeper while work runs or waits. */
export const REPORT_INTERVAL_MS = 200;

/** Shortest time between two reports to one keeper. */
export const REPORT_PACE_MS = 2;

/** Time before a report that failed is repeated. */
export const REPORT_RETRY_MS = 100;

/** Time without use after which an entry keeps no more than its reserve. */
export const RESERVE_MS = 5_000;

/** Time after which the permits that do not divide evenly go to the next entries in turn. */
export const ROTATION_MS = 500;

/** Shortest time between two requests to one member to report on one team. */
export const NUDGE_PACE_MS = 3;

/** Time between two looks of a keeper at what has to be given back. */
export const REBALANCE_INTERVAL_MS = 20;

/** Time without a report after which a member without needs counts as unreachable. */
export const IDLE_SILENCE_MS = 12_000;

/** Time without a report after which a member's needs no longer count. */
export const SILENCE_MS = 1_000;

/** Time between two reports to a keeper while nothing runs or waits. */
export const IDLE_REPORT_INTERVAL_MS = 5_000;
