/** Time after a lease renewal within which tasks may start. */
export const START_TTL_MS = 1_500;

/** Time after the last renewal at which a worker stops the tasks of the holder. */
export const TASK_TTL_MS = 5_000;

/** Interval between lease renewals. */
export const RENEW_INTERVAL_MS = 400;

/** Timeout of a renewal. */
export const RENEW_TIMEOUT_MS = 1_000;

/** Timeout of opening a connection. */
export const CONNECT_TIMEOUT_MS = 500;

/** Time after which an idle connection is closed. */
export const IDLE_CONNECTION_TIMEOUT_MS = 4_000;

/** Maximum number of connections that a worker accepts from all entries together. */
export const MAX_WORKER_CONNECTIONS = 64;

/** Connections reserved for renewals and stop requests. */
export const CONTROL_CONNECTIONS = 1;

/** Time without a task in the worker's reports after which its exchange is abandoned. */
export const MISSING_TASK_TIMEOUT_MS = 1_500;

/** Time without a reply to renewals after which all exchanges with a worker are abandoned. */
export const UNRESPONSIVE_WORKER_TIMEOUT_MS = 2_000;

/** Time after which an unconfirmed stop has taken effect, because the lease has expired. */
export const MAX_STOP_MS = TASK_TTL_MS + RENEW_TIMEOUT_MS;

/** Interval between probes of a suspect worker. */
export const PROBE_INTERVAL_MS = 2_000;

/** Time since the last failure after which any work may probe a suspect worker. */
export const PROBE_OVERDUE_AFTER_MS = 30_000;

/** Minimum number of consecutive failures that makes a worker suspect. */
export const MIN_FAILURE_STREAK = 3;

/** Probability below which consecutive failures are not attributed to chance. */
export const MAX_CHANCE_PROBABILITY = 0.001;

/** Weight of the latest result in the moving average of a worker's failures. */
export const FAILURE_SMOOTHING = 0.1;
