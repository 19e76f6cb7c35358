/** Longest time that a starting entry waits for its first permits. */
export const FIRST_LOANS_TIMEOUT_MS = 1_000;

/** Interval of reports to a keeper while a starting entry waits for its first permits. */
export const STARTUP_REPORT_INTERVAL_MS = 25;

/** Interval of reports to a keeper while work runs or waits. */
export const REPORT_INTERVAL_MS = 200;

/** Minimum time between two reports to one keeper. */
export const MIN_REPORT_INTERVAL_MS = 2;

/** Delay before a failed report is repeated. */
export const REPORT_RETRY_DELAY_MS = 100;

/** Time without use after which an entry returns the permits beyond its reserve. */
export const UNUSED_PERMIT_TIMEOUT_MS = 5_000;

/** Interval at which the permits that do not divide evenly rotate to the next entries. */
export const REMAINDER_ROTATION_INTERVAL_MS = 500;

/** Minimum time between two requests that ask one member to report because of one team. */
export const MIN_REPORT_REQUEST_INTERVAL_MS = 3;

/** Interval at which a keeper checks which permits members must return. */
export const REBALANCE_INTERVAL_MS = 20;

/** Time without a report after which a member that needs no permits counts as unresponsive. */
export const IDLE_MEMBER_TIMEOUT_MS = 12_000;

/**
 * Time without a report after which a member that needs permits counts as unresponsive, so that its
 * requirement no longer counts.
 */
export const ACTIVE_MEMBER_TIMEOUT_MS = 1_000;

/** Interval of reports to a keeper while nothing runs or waits. */
export const IDLE_REPORT_INTERVAL_MS = 5_000;
