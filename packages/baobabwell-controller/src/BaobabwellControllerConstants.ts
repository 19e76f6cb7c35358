/** Table of the host incarnations on which an owner may have started runs. */
export const HOSTS_TABLE = 'hosts';

/** Table of the pools in which runs of a queue may exist. */
export const QUEUE_POOLS_TABLE = 'queue-pools';

/**
 * Lease of all runs on a host, in ms. It is longer than a takeover after an owner failed, and short
 * enough that the work of an unresponsive host is soon started elsewhere.
 */
export const HOST_LEASE_MS = 2_800;

/**
 * Interval between two renewals of the lease on a host while a term is not loaded or its ownership is released,
 * in ms: a call that gets no answer, and the next one, fit into the lease.
 */
export const LEASE_KEEP_INTERVAL_MS = 700;

/** Time after the start of a term from which leases are renewed although it is not loaded, in ms. */
export const LEASE_KEEP_DELAY_MS = 150;

/**
 * The same after a release, in ms: the former owner renews for longer, and calls to all hosts would delay the
 * load of a term on a small machine.
 */
export const RELEASED_LEASE_KEEP_DELAY_MS = 1_000;

/**
 * Longest time after the start of a term for which leases are renewed although it is not loaded, in ms: runs of
 * cancelled jobs go on until it is.
 */
export const MAX_LEASE_KEEP_MS = 5_000;

/** Largest fraction by which a host's clock may run slower than the owner's. */
export const MAX_CLOCK_DRIFT = 0.02;

/**
 * Age of the latest answer up to which a host that left an order unanswered still gets its lease renewed, in
 * ms: shorter than a hold call that is not answered.
 */
export const RECENT_ANSWER_AGE_MS = 1_000;

/** Margin for delayed lease expiry on the host and delayed timers in this process, in ms. */
export const EXPIRY_MARGIN_MS = 100;

/**
 * Time after the expiry of its own lease for which an owner that cannot reach the store keeps renewing
 * the leases on hosts, in ms: past its grace only while two thirds of them answer it. Outages of the
 * store are shorter. Meanwhile the owner starts no runs
 * except of jobs accepted before its last renewal, and these only for the first part of this time.
 */
export const KEEP_ALIVE_MS = 9_000;

/** Longest wait of a hold call, in ms: the lease is renewed three times before it expires. */
export const HOLD_WAIT_MS = 900;

/**
 * Age, counted from its sending, up to which an answered hold call counts when an owner that cannot renew
 * counts the hosts that answer it, in ms: two calls with their waits and transmission.
 */
export const MAX_ANSWER_AGE_MS = 2 * HOLD_WAIT_MS + 600;

/** Shortest interval between two counts of the hosts that answer, in ms. */
export const ANSWER_COUNT_INTERVAL_MS = 100;

/** Interval between checks whether the owner's lease has expired, in ms. */
export const LEASE_CHECK_INTERVAL_MS = 250;

/**
 * Longest wait of a hold call where serving and best-effort tasks share a host, in ms: shorter, since
 * the CPU throttle follows the reported latencies.
 */
export const THROTTLED_HOLD_WAIT_MS = 400;

/** Delay before a host that did not answer is called again, in ms. */
export const HOST_RETRY_MS = 120;

/** Longest wait for run ends to be stored before the next hold call to their host, in ms. */
export const END_STORE_TIMEOUT_MS = 400;

/** Number of attempts to start a run while the host does not answer. */
export const MAX_START_ATTEMPTS = 3;

/** Time for which a host that refused an order as unhealthy receives no work, in ms. */
export const UNHEALTHY_BACKOFF_MS = 1_500;

/** Delay before a task whose start was refused is placed again, in ms. */
export const REFUSAL_DELAY_MS = 100;

/**
 * Shortest delay between two rounds of placements, in ms: ends that hosts report within it are answered
 * by one round, whose cost grows with the hosts of a pool.
 */
export const MIN_DISPATCH_DELAY_MS = 12;

/**
 * Delay after a round of placements as a multiple of its duration, so that orders and answers are
 * processed first.
 */
export const DISPATCH_DELAY_FACTOR = 4;

/**
 * Longest wait for a request between two rounds of placements, in ms: due times and backoffs pass
 * without a request.
 */
export const MAX_DISPATCH_WAIT_MS = 100;

/** Batching window: time for which changes are collected before they are stored together, in ms. */
export const COMMIT_BATCHING_MS = 12;

/**
 * Maximum number of entries in one transaction, conditions and writes together: the store's limit minus
 * the entries for the owner's fence, its lease renewal and the handover.
 */
export const MAX_COMMIT_ENTRIES = 97;

/**
 * Maximum length of the rows of jobs in one transaction, in bytes: the store takes 1 MB, in which rows are
 * encoded with a third more.
 */
export const MAX_COMMIT_BYTES = 600_000;

/** Maximum number of host rows in one transaction; the other entries are left for jobs. */
export const MAX_COMMIT_HOSTS = 40;

/** Initial backoff before a failed transaction is sent again, in ms. */
export const COMMIT_RETRY_MS = 100;

/** Longest backoff before a transaction that keeps failing is sent again, in ms. */
export const MAX_COMMIT_RETRY_MS = 400;

/**
 * Longest wait of one watch call on the store's tables, in ms: shorter than the ages at which views of
 * tables are too old for starts.
 */
export const WATCH_WAIT_MS = 800;

/**
 * Number of watches in a row without an answer after which their table is read instead: no starts are
 * allowed by a view of that age.
 */
export const MAX_WATCH_FAILURES = 2;

/** Lease age from which an owner asks peers whether the store answers them, in ms: it may soon expire. */
export const MIN_OUTAGE_LEASE_AGE_MS = 1_000;

/** Interval between two requests to peers whether the store answers them, in ms. */
export const OUTAGE_POLL_INTERVAL_MS = 250;

/** Age up to which a peer's report on the store counts, in ms. */
export const MAX_PEER_REPORT_AGE_MS = 1_200;

/**
 * Time by which the store may have answered a peer later than the owner's last renewal although it has
 * answered nobody since, in ms: two renewals and the transmission of a report.
 */
export const OUTAGE_SLACK_MS = 800;

/** Longest time in which an order to start a run reaches its host, in ms. */
export const START_TRANSIT_MS = 300;

/** Initial backoff after a failed watch or read, in ms. */
export const WATCH_RETRY_MS = 100;

/** Longest backoff while a watch or read keeps failing, in ms. */
export const MAX_WATCH_RETRY_MS = 400;

/** Time for which an ended job is kept beyond the time for which callers query it, in ms: clocks differ. */
export const ENDED_JOB_MARGIN_MS = 60_000;

/** Age from which a job that had ended before a takeover is not tracked, in ms: nobody submits it again. */
export const MIN_UNTRACKED_AGE_MS = 180_000;

/** Interval between two removals of rows of ended jobs, in ms. */
export const REMOVAL_INTERVAL_MS = 1_000;

/** The same interval while more jobs than one transaction takes are to be removed, in ms. */
export const REMOVAL_BACKLOG_INTERVAL_MS = 250;

/** Maximum number of jobs whose rows are removed at once, for the store's limit of a transaction. */
export const MAX_REMOVED_JOBS = 45;

/** Age up to which a job that is not tracked may have been missed by the watch, in ms. */
export const MAX_UNSEEN_AGE_MS = 60_000;

/** Interval between removals of ended jobs, in ms. */
export const PRUNE_INTERVAL_MS = 20_000;

/** Interval at which ended jobs are reduced to what answers their callers, in ms. */
export const COMPACTION_INTERVAL_MS = 1_000;

/** Number of start orders without an answer at which no further runs are placed: each takes memory. */
export const MAX_PENDING_STARTS = 2_000;

/** Run numbers reserved for each term, so that a later owner's run numbers are higher. */
export const RUNS_PER_TERM = 1_000;

/**
 * Age of the owner's lease up to which it sends machine orders, in ms. The lease is younger unless the
 * store fails, even while a slow store takes 400 ms for a renewal. A takeover requires an older lease, so
 * the next owner shortens its delay before its first order by the difference.
 */
export const MAX_ORDER_LEASE_AGE_MS = 1_000;

/** Longest wait between two rounds of the fleet control loop, in ms. */
export const CONTROL_LOOP_INTERVAL_MS = 80;

/** Age at which the list of machines is read again, in ms: reads cost money and are rate-limited. */
export const MAX_MACHINE_LIST_AGE_MS = 700;

/** Age of the list of machines up to which orders follow it, in ms: a machine may have another worker since. */
export const MAX_ORDER_LIST_AGE_MS = 2_000;

/** Time after which an order whose effect never shows in the list of machines is dropped, in ms. */
export const MACHINE_ORDER_TIMEOUT_MS = 4_000;

/** Hosts that every pool retains while it has no demand; its next tasks start there. */
export const MIN_HOSTS = 2;

/** Minimum number of hosts beyond its base from which the demand of a pool counts as a burst. */
export const MIN_BURST_HOSTS = 3;

/**
 * The same threshold as a share of all machines. Four pools share the machines, and a burst demands
 * several times the mean load of a quarter of them.
 */
export const BURST_SHARE = 0.08;

/** Share of all machines kept ready as headroom in idle pools. */
export const HEADROOM_SHARE = 0.18;

/** Table of the machines of each wave whose maintenance is done. */
export const WAVES_TABLE = 'waves';

/** Part of a host's notice period reserved for its last tasks to end, in ms. */
export const DEPARTURE_RESERVE_MS = 1_500;

/** Longest wait of the committer for a request, in ms. */
export const MAX_COMMIT_WAIT_MS = 10_000;

/**
 * Time for which a pool retains the hosts that it desired, in ms: moving a machine away and back costs
 * about as much as a host for this long.
 */
export const DESIRED_HOSTS_WINDOW_MS = 1_200;

/**
 * Window over which the peak of a pool's required hosts counts, in ms: about half the duration of a
 * task, so that hosts between two tasks are not taken away.
 */
export const REQUIRED_HOSTS_WINDOW_MS = 400;

/** Time without a burst of any pool after which no headroom is kept, in ms: longer than a burst. */
export const BURSTS_ENDED_MS = 6_000;

/** Shortest interval between two log lines on the load of one pool, in ms. */
export const LOAD_LOG_INTERVAL_MS = 1_000;

/** Time within which an unanswered order to start a run may still be carried out, in ms. */
export const MAX_START_DELAY_MS = 15_000;

/** Longest backoff between calls to an unresponsive host on which nothing runs, in ms. */
export const MAX_HOST_RETRY_MS = 2_000;

/** Time for which a refused job counts as demand when machines are allocated, in ms. */
export const REFUSED_DEMAND_WINDOW_MS = 1_000;

/** Maximum number of ranges that a term reads at once while it loads the stored state. */
export const MAX_CONCURRENT_READS = 8;

/** Number of rows applied without a pause while a term loads the stored state. */
export const ROWS_PER_SLICE = 50;

/**
 * Time by the host's clock after which a host that started a task and still answers has survived the
 * start, in ms.
 */
export const START_SURVIVAL_MS = 100;

/** Number of hosts that become silent in one moment from which a common cause is assumed. */
export const MIN_COMMON_CAUSE_HOSTS = 3;

/** Time for which a host receives no other task while a start on it is being stored, in ms. */
export const MAX_START_STORE_MS = 300;

/**
 * Time from the start of a run to the first call that its host leaves unanswered up to which the crash of
 * the host can be attributed to the run, in ms.
 */
export const MAX_CRASH_NOTICE_MS = 500;

/** Largest share of the CPU of a pool that copies use. */
export const MAX_COPY_SHARE = 0.05;

/** Table of what owners pass on to their successors. */
export const HANDOVER_TABLE = 'handover';

/** Shortest interval between two writes of the handover row, in ms. */
export const HANDOVER_INTERVAL_MS = 1_000;

/** Maximum length of the sections in the handover row, in characters. */
export const MAX_HANDOVER_LENGTH = 32_768;

/** Table of the machines that owners are about to order. */
export const MACHINE_ORDERS_TABLE = 'machine-orders';

/** Maximum number of machines in the row of order intents, for the store's limit on the size of a row. */
export const MAX_LISTED_INTENTS = 1_000;

/** Longest time from the last answer of an order, or its timeout, for which it can still take effect, in ms. */
export const MAX_MACHINE_ORDER_MS = 2_000;

/** Time after which order intents are stored again without those that have expired, in ms. */
export const INTENTS_REFRESH_MS = 5_000;

/**
 * Share of the listed capacity that is expected of hosts that have not reported to a new owner yet: some
 * are gone.
 */
export const UNREPORTED_SHARE = 0.8;

/** Age above which what a former owner learned of bursts is not restored, in ms. */
export const MAX_TURNS_AGE_MS = 60_000;
