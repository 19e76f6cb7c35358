/** Time within which a started lease may begin tasks. */
export const START_TTL_MS = 1_500;

/** Time after which a worker stops the tasks of a holder that no longer renews. */
export const TASK_TTL_MS = 5_000;

/** Time between two renewals of a lease. */
export const RENEW_INTERVAL_MS = 400;

/** Longest time that a renewal may take. */
export const RENEW_TIMEOUT_MS = 1_000;

/** Longest time that opening a connection may take. */
export const CONNECT_TIMEOUT_MS = 500;

/** Time after which an idle connection is closed. */
export const IDLE_CONNECTION_MS = 4_000;

/** Connections that one worker accepts from all entries together. */
export const WORKER_CONNECTIONS = 64;

/** Connections kept apart for renewals. */
export const CONTROL_CONNECTIONS = 1;

/** Time for which a worker may not know a task whose exchange still waits for an answer. */
export const SILENT_TASK_MS = 1_500;

/** Time for which a worker may leave renewals unanswered before its exchanges are abandoned. */
export const SILENT_WORKER_MS = 2_000;

/** Time after which a stop that was not confirmed is in force because the lease has lapsed. */
export const STOP_BOUND_MS = TASK_TTL_MS + RENEW_TIMEOUT_MS;

/** Time between two probes of a suspect worker. */
export const PROBE_INTERVAL_MS = 2_000;

/** Time after which a suspect worker is probed with any work. */
export const PROBE_OVERDUE_MS = 30_000;

/** Shortest run of failures that makes a worker suspect. */
export const MIN_FAILURE_STREAK = 3;

/** Probability below which a run of failures is not taken for chance. */
export const CHANCE_BOUND = 0.001;

/** Weight of the newest result in a worker's failure fraction. */
export const FAILURE_SMOOTHING = 0.1;
