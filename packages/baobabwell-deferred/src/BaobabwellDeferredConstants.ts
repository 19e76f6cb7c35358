/** Table that holds one row for each piece of accepted work. */
export const WORK_TABLE = 'deferred-work';

/** Most rows fetched by one read of the table. */
export const WORK_PAGE_ROWS = 500;

/** Time between two reads of the table by one entry. */
export const WORK_POLL_INTERVAL_MS = 1_000;

/** Time between two looks for work that may start. */
export const RUNNER_INTERVAL_MS = 500;

/** Pieces of work of one queue that its runner has claimed at once. */
export const RUNNER_CONCURRENCY = 64;

/** Time for which acceptances are gathered into one transaction. */
export const ACCEPT_GATHER_MS = 10;

/** Most acceptances in one transaction. */
export const ACCEPT_GROUP = 100;

/** Most pieces of work that one cancellation may name. */
export const CANCEL_GROUP = 500;

/** Time between two attempts to store something that must not be lost. */
export const STORE_RETRY_MS = 500;

/** Attempts to settle an acceptance before its caller is told that it is unknown. */
export const ACCEPT_ATTEMPTS = 5;

/** Bodies above this size go to the object store. */
export const INLINE_BODY_BYTES = 8 * 1_024;

/** Attempts on work that was not run before it is given up. */
export const MAX_ATTEMPTS = 20;

/** Time after an attempt that was not run before the next. */
export const ATTEMPT_WAIT_MS = 2_000;

/** Time after which an owner that is no member has nothing running any more. */
export const OWNER_LAPSE_MS = 10_000;

/** Time that a planned stop gives to work in flight. */
export const STOP_BOUND_MS = 30_000;

/** Longest time for which a lookup waits for the end. */
export const MAX_LOOKUP_WAIT_MS = 60_000;

/** Time for which the row of ended work is kept. */
export const RETENTION_MS = 7 * 24 * 60 * 60 * 1_000;

/** Time between two removals of old rows. */
export const SWEEP_INTERVAL_MS = 60_000;

/** When a refused caller may come back. */
export const RETRY_AFTER_MS = 1_000;
