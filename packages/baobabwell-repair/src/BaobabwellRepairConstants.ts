/** Score from which a host counts as failed. */
export const FAILED_SCORE = 3;

/** Score of a host that does not respond to probes. */
export const UNREACHABLE_SCORE = 2;

/** Score of a host that is missing from the host list. */
export const UNLISTED_SCORE = 2;

/** Score of a host on which the tasks of this entry keep failing. */
export const FAILING_TASKS_SCORE = 2;

/** Score added when a host has had symptoms for {@link LONG_FAULT_MS}. */
export const LONG_FAULT_SCORE = 1;

/** Minimum time that symptoms must persist before they count. */
export const MIN_FAULT_MS = 5_000;

/** Time after which a single symptom is enough for a host to count as failed. */
export const LONG_FAULT_MS = 30_000;

/**
 * Maximum fraction of the fleet that may appear failed. Above it, this entry marks no host as
 * failed, because it more likely has lost its own connectivity.
 */
export const MAX_FAILED_FRACTION = 0.5;

/**
 * Time after which no work runs on a failed host: entries start none there, and the leases have
 * expired.
 */
export const FAILED_DRAIN_MS = 15_000;

/** Minimum time that a failed host must respond before it is rebooted. */
export const MIN_RECOVERY_MS = 10_000;

/** Delay between two attempts to recover a failed host. */
export const RECOVERY_RETRY_DELAY_MS = 600_000;

/** Prefix of the state reason of hosts that self-repair took out of service. */
export const REPAIR_REASON = 'self-repair';

/** Maximum time between two decisions; after a longer gap, earlier observations are discarded. */
export const MAX_DECISION_GAP_MS = 5_000;
