/** Table with one row for each idempotency key. */
export const CLAIM_TABLE = 'call-claims';

/** Time in which writes are gathered before a transaction, when none was sent lately. */
export const GATHER_MS = 3;

/** Time between two transactions of one entry, for each member of the fleet. */
export const SPACING_PER_MEMBER_MS = 25;

/** Most writes in one transaction. */
export const GROUP_WRITES = 200;

/** Longest time for which a call waits for its claim. */
export const CLAIM_TIMEOUT_MS = 2_000;

/** Time between two reads that settle a transaction without an answer. */
export const SETTLE_RETRY_MS = 200;

/** Time between two attempts to store an outcome. */
export const STORE_RETRY_MS = 500;

/** Time for which an idle writer sleeps when nothing wakes it. */
export const IDLE_MS = 60_000;

/** First and longest time between two reads of a claim that another entry holds. */
export const FIRST_POLL_MS = 200;
export const LONGEST_POLL_MS = 2_000;

/** Time after which nothing runs any more for an entry that is no member. */
export const FENCE_MS = 8_000;

/** Time after its deadline at which a claim without an outcome is settled as unknown. */
export const SETTLE_SLACK_MS = 10_000;

/** Time for which outcomes are kept. */
export const RETENTION_MS = 60 * 60 * 1_000;

/** Largest answer that is stored in the row itself; larger ones go to the object store. */
export const INLINE_ANSWER_BYTES = 4 * 1024;

/** Most outcomes that wait to be stored. */
export const MAX_UNSTORED = 20_000;

/** Time between two steps of the removal of old rows. */
export const SWEEP_INTERVAL_MS = 2_000;

/** Rows that one step of the removal reads. */
export const SWEEP_ROWS = 500;

/** Time between two removals that start from the first row. */
export const FULL_SWEEP_MS = 60 * 60 * 1_000;
