/** Table with one row for each idempotency key. */
export const CLAIM_TABLE = 'call-claims';

/** Time for which writes are batched before a transaction, when none was sent recently. */
export const BATCHING_WINDOW_MS = 3;

/** Time between two transactions of one entry, per member of the fleet. */
export const TRANSACTION_INTERVAL_PER_MEMBER_MS = 25;

/** Maximum number of writes in one transaction. */
export const MAX_TRANSACTION_WRITES = 200;

/** Longest time that a call waits for its claim to be written. */
export const CLAIM_TIMEOUT_MS = 2_000;

/** Interval of the reads that resolve a transaction without an answer. */
export const RESOLVE_RETRY_INTERVAL_MS = 200;

/** Interval between two attempts to store an outcome. */
export const STORE_RETRY_INTERVAL_MS = 500;

/** Longest time that an idle writer waits for a notification. */
export const MAX_IDLE_WAIT_MS = 60_000;

/** Initial and maximum interval between two reads of a claim that another entry holds. */
export const MIN_POLL_INTERVAL_MS = 200;
export const MAX_POLL_INTERVAL_MS = 2_000;

/** Time after which no work runs any more for an entry that is not a member. */
export const FENCE_DELAY_MS = 8_000;

/** Time after its deadline at which a claim without an outcome is resolved as unknown. */
export const RESOLVE_DELAY_MS = 10_000;

/** Time for which outcomes are retained. */
export const OUTCOME_RETENTION_MS = 60 * 60 * 1_000;

/** Largest answer that is stored in the row itself; larger ones go to the object store. */
export const MAX_INLINE_ANSWER_BYTES = 4 * 1024;

/** Maximum number of outcomes that wait to be stored. */
export const MAX_UNSTORED_OUTCOMES = 20_000;

/** Interval between two steps of the removal of expired rows. */
export const SWEEP_INTERVAL_MS = 2_000;

/** Number of rows that one step of the removal reads. */
export const SWEEP_PAGE_ROWS = 500;

/** Interval between two sweeps that start from the first row. */
export const FULL_SWEEP_INTERVAL_MS = 60 * 60 * 1_000;
