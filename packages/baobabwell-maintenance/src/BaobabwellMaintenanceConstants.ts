/** Time between two probes of one host. */
export const PROBE_INTERVAL_MS = 1_000;

/** Longest time that a probe or an order to a host may take. */
export const CONTROL_TIMEOUT_MS = 800;

/** Probes that must fail in a row before a host counts as unreachable. */
export const PROBE_FAILURES = 2;

/** Time between two reads of the host list. */
export const HOST_LIST_INTERVAL_MS = 2_000;

/** Age above which the host list says nothing. */
export const HOST_LIST_MAX_AGE_MS = 15_000;
