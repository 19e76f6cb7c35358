/** Maximum number of attempts per call, each on another worker. */
export const MAX_ATTEMPTS = 3;

/** Retry delay reported to callers after a transient failure. */
export const RETRY_AFTER_MS = 1_000;

/** Retry tokens that each call adds to the budget. */
export const RETRY_TOKENS_PER_CALL = 0.1;

/** Maximum number of retry tokens in the budget. */
export const MAX_RETRY_TOKENS = 10;

/** Mean backoff before the first retry; it doubles with each further retry. */
export const INITIAL_RETRY_BACKOFF_MS = 10;

/** Number of workers on which the same work has to fail before it is parked. */
export const MIN_PARKING_HOSTS = 3;

/** Duration for which parked work is refused. */
export const PARKING_DURATION_MS = 60_000;

/** Maximum number of failed pieces of work that are tracked. */
export const MAX_TRACKED_FAILURES = 1_000;

/**
 * Time after which a streamed answer without progress is aborted, whether worker or caller stalls.
 */
export const STREAM_STALL_TIMEOUT_MS = 10_000;
