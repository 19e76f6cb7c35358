/** Time within which a started lease may begin tasks. */
export const START_TTL_MS = 1_500;

/** Time after which a worker stops the tasks of a holder that no longer renews. */
export const TASK_TTL_MS = 5_000;

/** Time between two renewals of a lease. */
export const RENEW_INTERVAL_MS = 400;

/** Longest time that a renewal may take. */
export const RENEW_TIMEOUT_MS = 1_000;

/** Time after which a task without renewals certainly ended, on top of its lease. */
export const LEASE_LAPSE_SLACK_MS = 500;

/** Time between two attempts to stop a task whose end is not known. */
export const STOP_RETRY_MS = 250;

/** Longest time that opening a connection may take. */
export const CONNECT_TIMEOUT_MS = 500;

/** Time after which an idle connection is closed. */
export const IDLE_CONNECTION_MS = 4_000;

/** Connections that one worker accepts from all entries together. */
export const WORKER_CONNECTIONS = 64;

/** Connections kept apart for renewals. */
export const CONTROL_CONNECTIONS = 1;
