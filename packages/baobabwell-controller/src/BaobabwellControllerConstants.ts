/** Table of the host lives on which an owner may have started something. */
export const HOSTS_TABLE = 'hosts';

/**
 * Lease given to all that runs on a host, in ms: outlasts the takeover of a lost owner, and ends soon
 * enough that the work of a host that went silent starts elsewhere.
 */
export const HOST_LEASE_MS = 2_800;

/** A host's clock may be this much slower than ours. */
export const CLOCK_DRIFT = 0.02;

/** Delay of a lapse on the host and of timers here, in ms. */
export const LAPSE_MARGIN_MS = 100;

/**
 * Time after its own lease for which an owner that cannot reach the store keeps the work on hosts
 * alive, in ms; the store's outages are shorter. It starts nothing meanwhile.
 */
export const KEEP_ALIVE_MS = 9_000;

/** Longest wait of a hold, in ms: the lease is renewed three times before it ends. */
export const HOLD_WAIT_MS = 900;

/** Wait of a hold where serving and filling tasks share a host, in ms: their pace follows. */
export const PACED_HOLD_WAIT_MS = 400;

/** Pause before a host that did not answer is asked again, in ms. */
export const HOST_RETRY_MS = 120;

/** Longest time for which ends wait to be stored before a host is held again, in ms. */
export const STORE_PATIENCE_MS = 400;

/** Attempts to start a run while no answer comes. */
export const START_ATTEMPTS = 3;

/** Time for which a host that refused as unhealthy gets no work, in ms. */
export const UNHEALTHY_PAUSE_MS = 1_500;

/** Pause after a refusal before the task is placed again, in ms. */
export const REFUSAL_PAUSE_MS = 100;

/** Least pause between two rounds of placements, in ms. */
export const DISPATCH_PAUSE_MS = 5;

/** Pause after a round of placements as a multiple of its duration: orders and answers go first. */
export const DISPATCH_REST = 2;

/** Longest pause between two rounds of placements, in ms: due times and pauses pass unannounced. */
export const DISPATCH_IDLE_MS = 100;

/** Time for which changes gather before they are stored together, in ms. */
export const COMMIT_GATHER_MS = 12;

/**
 * Entries of one transaction, conditions and writes together: the most that the store takes, less the
 * owner's fence and its renewal.
 */
export const COMMIT_ENTRIES = 98;

/** Rows of hosts in one transaction; the rest is left for jobs. */
export const COMMIT_HOSTS = 40;

/** Pause before a failed transaction is sent again, in ms. */
export const COMMIT_RETRY_MS = 100;

/** Longest pause before a transaction that keeps failing is sent again, in ms. */
export const MAX_COMMIT_RETRY_MS = 400;

/** Longest wait of a watch on the store's tables, in ms. */
export const WATCH_WAIT_MS = 1_500;

/** Pause after a failed watch, in ms. */
export const WATCH_RETRY_MS = 100;

/** Longest pause after a watch that keeps failing, in ms. */
export const MAX_WATCH_RETRY_MS = 400;

/** Time for which an ended job stays known, in ms; callers ask for two minutes. */
export const ENDED_JOB_MS = 180_000;

/** Pause between the searches for ended jobs, in ms. */
export const PRUNE_PAUSE_MS = 20_000;

/** Run numbers set aside for each term, so that a later owner's are higher. */
export const RUNS_PER_TERM = 1_000;

/**
 * Age of the lease up to which machines are ordered, in ms: it is younger unless the store fails, also
 * while a slow store takes 400 ms for a renewal; the next owner's pause begins that much earlier.
 */
export const ORDER_LEASE_MS = 1_000;

/** Pause between two rounds of duties, in ms. */
export const DUTIES_PAUSE_MS = 80;

/** Age at which the list of machines is read again, in ms: reads are priced and limited. */
export const MACHINES_PAUSE_MS = 700;

/** Time after which an order for a machine that never showed in the list is given up, in ms. */
export const MACHINE_SETTLE_MS = 4_000;

/** Hosts that every pool keeps while nothing is asked of it: its first tasks run there. */
export const LEAST_HOSTS = 2;

/** Hosts beyond its base that a pool needs, at least, while it has its turn. */
export const TURN_HOSTS = 3;

/** The same as a share of all machines: a turn asks for several times the mean of a quarter of them. */
export const TURN_SHARE = 0.08;

/** Share of all machines that stand by in the pools that rest. */
export const STANDBY_SHARE = 0.22;

/** Table of the machines of each wave that had their upkeep. */
export const WAVES_TABLE = 'waves';

/** Time kept back from a host's notice for its last tasks to end, in ms. */
export const LEAVE_RESERVE_MS = 1_500;

/** Longest pause of the committer without a request, in ms. */
export const COMMIT_IDLE_MS = 10_000;

/**
 * Time for which a pool keeps the hosts that it wanted, in ms: a move and the way back cost about as
 * much as a host for this long.
 */
export const KEEP_MS = 1_800;

/**
 * Time for which a pool counts as needing the most that its work needed, in ms: about half a task, so
 * that hosts between two tasks are not taken away.
 */
export const NEEDED_MS = 400;

/** Time without a turn of any pool after which no machines stand by, in ms: longer than a turn. */
export const TURNS_ENDED_MS = 6_000;

/** Least pause between two log lines on the load of one pool, in ms. */
export const LOAD_PAUSE_MS = 1_000;

/** Time after which an order that was not answered is no longer carried out, in ms. */
export const LATE_START_MS = 15_000;

/** Longest pause before a silent host on which nothing runs is asked again, in ms. */
export const MAX_RETRY_MS = 2_000;

/** Time for which a refused job counts as asked for when machines are called in, in ms. */
export const REFUSED_DEMAND_MS = 1_000;
