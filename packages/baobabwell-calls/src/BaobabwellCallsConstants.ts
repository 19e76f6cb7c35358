/** Workers on which one call is tried. */
export const MAX_ATTEMPTS = 3;

/** When a caller is asked to come back after a passing trouble. */
export const RETRY_AFTER_MS = 1_000;

/** Retries that each call adds to the budget. */
export const RETRY_FRACTION = 0.1;

/** Most retries that the budget holds. */
export const RETRY_BURST = 10;

/** Mean wait before the first retry; it doubles with each further one. */
export const RETRY_WAIT_MS = 10;

/** Workers on which work has to fail before it is parked. */
export const PARKING_HOSTS = 3;

/** Time for which parked work is refused. */
export const PARKING_MS = 60_000;

/** Most pieces of failed work that are remembered. */
export const MAX_FAILED_WORK = 1_000;

/** Time for which a streamed answer may stand still, for whichever side's fault. */
export const PROGRESS_TIMEOUT_MS = 10_000;
