/** Name of the table with one row per accepted work item. */
export const WORK_TABLE = 'deferred-work';

/** Maximum number of rows that one read of the table returns. */
export const MAX_PAGE_ROWS = 500;

/** Interval at which an entry reads the table. */
export const WORK_POLL_INTERVAL_MS = 1_000;

/** Interval at which the runner checks for work that may start. */
export const RUNNER_INTERVAL_MS = 500;

/** Maximum number of work items that one runner runs at once, over all its queues. */
export const MAX_RUNNING_ITEMS = 64;

/** Batching window in which acceptances are collected before they are committed. */
export const ACCEPT_BATCH_WINDOW_MS = 10;

/** Maximum number of acceptances in one transaction. */
export const MAX_ACCEPT_BATCH_ITEMS = 100;

/** Maximum number of cancellations in one transaction. */
export const MAX_CANCEL_BATCH_ITEMS = 500;

/** Interval between attempts to store data that must not be lost. */
export const STORE_RETRY_INTERVAL_MS = 500;

/** Maximum number of attempts to store work before it is reported as unavailable or unknown. */
export const MAX_ACCEPT_ATTEMPTS = 5;

/** Maximum size of a body that is stored inline; larger ones go to the object store. */
export const MAX_INLINE_BODY_BYTES = 8 * 1_024;

/** Maximum number of attempts to run a work item; then it ends with the last outcome. */
export const MAX_RUN_ATTEMPTS = 20;

/** Delay between an unsuccessful attempt to run a work item and the next attempt. */
export const RUN_RETRY_DELAY_MS = 2_000;

/** Time after which no work of an owner that is no longer a member can still be running. */
export const OWNER_RELEASE_DELAY_MS = 10_000;

/** Time that a planned stop allows running work to end. */
export const STOP_TIMEOUT_MS = 30_000;

/** Maximum time for which a lookup waits for the end of the work. */
export const MAX_LOOKUP_WAIT_MS = 60_000;

/** Time for which the row of an ended work item is retained. */
export const RETENTION_MS = 7 * 24 * 60 * 60 * 1_000;

/** Interval between removals of expired rows. */
export const SWEEP_INTERVAL_MS = 60_000;

/** Retry delay sent to a refused caller. */
export const RETRY_AFTER_MS = 1_000;
