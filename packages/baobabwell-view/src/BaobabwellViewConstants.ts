/** Name of the table with one row per change. */
export const LOG_TABLE = 'view-log';

/** Name of the table whose only row holds the version of the last change. */
export const HEAD_TABLE = 'view-head';

/** Key of the only row of the head table. */
export const HEAD_KEY = 'head';

/** Name of the table with one row per transaction identifier. */
export const TRANSACTION_TABLE = 'view-transactions';

/** Maximum number of rows that one read of a table returns. */
export const MAX_PAGE_ROWS = 500;

/** Interval at which an entry reads the log. */
export const LOG_POLL_INTERVAL_MS = 1_000;

/** Maximum age of the view at which an entry may start work. */
export const FRESHNESS_BOUND_MS = 2_500;

/** Maximum number of attempts to commit a change while concurrent changes overtake it. */
export const MAX_COMMIT_ATTEMPTS = 8;

/** Maximum number of attempts to resolve a transaction with an unknown outcome. */
export const MAX_RESOLVE_ATTEMPTS = 4;

/** Interval between attempts to resolve a transaction. */
export const RESOLVE_INTERVAL_MS = 250;

/** Interval between heartbeats to one peer. */
export const PEER_HEARTBEAT_INTERVAL_MS = 500;

/** Number of changes retained in memory for peers that lag behind. */
export const MAX_HISTORY_CHANGES = 1_000;

/** Name of the table with one heartbeat row per entry. */
export const HEARTBEAT_TABLE = 'member-heartbeats';

/** Maximum interval between writes of an entry's heartbeat row. */
export const HEARTBEAT_ROW_INTERVAL_MS = 3_000;

/** Time without an answer after which a member counts as unreachable. */
export const UNREACHABLE_AFTER_MS = 2_000;

/** Time that a writer waits for acceptance before it reports its change as pending. */
export const ACCEPTANCE_TIMEOUT_MS = 2_000;

/** Interval at which a writer reads the heartbeat rows while it waits for acceptance. */
export const HEARTBEAT_READ_INTERVAL_MS = 500;

/** Minimum number of members that can confirm the view without the table service. */
export const MIN_QUORUM_MEMBERS = 2;

/** Maximum number of changes in one message to a peer. */
export const MAX_PUSHED_CHANGES = 100;

/** Name of the table whose only row points to the newest snapshot. */
export const SNAPSHOT_TABLE = 'view-snapshot';

/** Key of the only row of the snapshot table. */
export const SNAPSHOT_KEY = 'newest';

/** Number of changes between snapshots. */
export const SNAPSHOT_INTERVAL_CHANGES = 200;

/** Number of changes before the newest snapshot that the log retains for lagging readers. */
export const RETAINED_LOG_CHANGES = 400;
