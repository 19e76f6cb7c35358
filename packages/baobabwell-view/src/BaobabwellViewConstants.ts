/** Table that holds one row for each change. */
export const LOG_TABLE = 'view-log';

/** Table whose single row names the last change. */
export const HEAD_TABLE = 'view-head';

/** Key of the only row of the head table. */
export const HEAD_KEY = 'head';

/** Table that holds one row for each transaction identifier. */
export const TRANSACTION_TABLE = 'view-transactions';

/** Most log rows fetched by one read. */
export const LOG_PAGE_ROWS = 500;

/** Time between two reads of the log by one entry. */
export const LOG_POLL_INTERVAL_MS = 1_000;

/** Longest age of the view at which an entry may still start work. */
export const FRESHNESS_BOUND_MS = 2_500;

/** Attempts to commit a change that other changes overtake. */
export const COMMIT_ATTEMPTS = 8;

/** Attempts to find out whether a transaction without an answer was committed. */
export const SETTLE_ATTEMPTS = 4;

/** Time between two such attempts. */
export const SETTLE_INTERVAL_MS = 250;

/** Time between two heartbeats to one peer. */
export const PEER_HEARTBEAT_INTERVAL_MS = 500;

/** Changes kept in memory for peers that lag behind. */
export const HISTORY_CHANGES = 1_000;

/** Table that holds one heartbeat row for each entry. */
export const HEARTBEAT_TABLE = 'member-heartbeats';

/** Longest time between two writes of an entry's heartbeat row. */
export const HEARTBEAT_ROW_INTERVAL_MS = 3_000;

/** Time after its last answer from which a member counts as unreachable. */
export const UNREACHABLE_AFTER_MS = 2_000;

/** Time that a writer waits for the acceptance of its change before it reports it as pending. */
export const ACCEPTANCE_WAIT_MS = 2_000;

/** Time between two looks at the heartbeat rows while a change is not accepted. */
export const ACCEPTANCE_READ_INTERVAL_MS = 500;

/** Fewest members that can confirm the view without the table service. */
export const SMALLEST_QUORUM_FLEET = 2;

/** Changes sent to one peer at once. */
export const PUSH_CHANGES = 100;

/** Table whose single row names the newest snapshot. */
export const SNAPSHOT_TABLE = 'view-snapshot';

/** Key of the only row of the snapshot table. */
export const SNAPSHOT_KEY = 'newest';

/** Changes between two snapshots. */
export const SNAPSHOT_CHANGES = 200;

/** Changes that stay in the log before the newest snapshot, for readers that lag behind. */
export const LOG_KEPT_CHANGES = 400;
